#include "core/vocab_value.h"

#include "base/err.h"
#include "core/team.h"

#define MILLI 1000
#define MILLI_DIGITS 3
#define TIME_LENGTH 20 /* of 2026-12-04T05:00:00Z */

static bool parse_milli(struct str value, uint64_t *out)
{
	struct str whole, part;
	uint64_t v = 0;
	uint64_t scale = MILLI;

	if (str_split(value, '.', &whole, &part) &&
	    (part.n == 0 || part.n > MILLI_DIGITS || str_to_u64(part, &v)))
		return false;
	for (size_t i = 0; i < part.n; i++)
		scale /= 10;
	if (str_to_u64(whole, out) || *out > UINT64_MAX / MILLI - 1)
		return false;
	*out = *out * MILLI + v * scale;
	return true;
}

/* Number of days from 1970-01-01 to a Gregorian date. */
static uint64_t days_since_1970(uint64_t year, uint64_t month, uint64_t day)
{
	uint64_t y = month <= 2 ? year - 1 : year;
	uint64_t m = (month + 9) % 12; /* March is 0: the leap day ends the year */

	return y * 365 + y / 4 - y / 100 + y / 400 + (m * 153 + 2) / 5 + day - 1 - 719468;
}

static uint64_t days_in_month(uint64_t year, uint64_t month)
{
	uint64_t y = month == 12 ? year + 1 : year;

	return days_since_1970(y, month % 12 + 1, 1) - days_since_1970(year, month, 1);
}

/* Converts YYYY-MM-DDTHH:MM:SSZ to seconds since 1970. */
static bool parse_time(struct str value, uint64_t *out)
{
	static const char form[] = "0000-00-00T00:00:00Z";
	static const size_t at[] = {0, 5, 8, 11, 14, 17};
	uint64_t part[6];

	if (value.n != TIME_LENGTH)
		return false;
	for (size_t i = 0; i < TIME_LENGTH; i++) {
		if (form[i] != '0' && value.p[i] != form[i])
			return false;
	}
	for (size_t i = 0; i < 6; i++) {
		if (str_to_u64((struct str){value.p + at[i], i ? 2 : 4}, &part[i]))
			return false;
	}
	if (part[0] < 1970 || part[1] < 1 || part[1] > 12 || part[2] < 1 ||
	    part[2] > days_in_month(part[0], part[1]) || part[3] > 23 || part[4] > 59 ||
	    part[5] > 59)
		return false;
	*out = ((days_since_1970(part[0], part[1], part[2]) * 24 + part[3]) * 60 +
		part[4]) *
		       60 +
	       part[5];
	return true;
}

/*
 * Parses a value by its rule: the number, the index of a choice, the length of a text, or
 * the deadline (see VOCAB_ABSOLUTE). Returns false if the value violates the rule.
 */
bool vocab_parse_value(const struct vocab_rule *rule, struct str value, uint64_t *out)
{
	uint64_t v = 0;

	switch (rule->type) {
	case VOCAB_INTEGER:
		if (str_to_u64(value, &v))
			return false;
		break;
	case VOCAB_MILLI:
		if (!parse_milli(value, &v))
			return false;
		break;
	case VOCAB_TEXT:
	case VOCAB_LIST:
		v = value.n;
		break;
	case VOCAB_NAME:
		if (!name_valid(value))
			return false;
		v = value.n;
		break;
	case VOCAB_DEADLINE:
		if (parse_time(value, &v)) {
			*out = v | VOCAB_ABSOLUTE;
			return true;
		}
		if (str_to_u64(value, &v))
			return false;
		break;
	case VOCAB_CHOICE:
		for (; v < 4 && rule->choices[v]; v++) {
			if (str_eq(value, str_from(rule->choices[v]))) {
				*out = v;
				return true;
			}
		}
		return false;
	}
	if (v < rule->min || v > rule->max)
		return false;
	*out = v;
	return true;
}
