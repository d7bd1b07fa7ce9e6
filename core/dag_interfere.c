#include "core/dag_interfere.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "proto/codec.h"

#define IMAGE_NAME_MAX 64U
#define BASE_FRACTION 0.25   /* of the target: assumed tail latency without load */
#define TARGET_FRACTION 0.95 /* of the target: tail latency to stay below */
#define LOAD_MAX 0.985	     /* tail latency does not show higher loads */
#define LOAD_SATURATED 0.97
#define SLOPE_INITIAL 1.0 /* load that a filler using the whole VM adds */
#define SLOPE_MAX 8.0
/* Variances of a slope: at first, when an earlier leader learned it, and at least. */
#define VARIANCE_INITIAL 1.5
#define VARIANCE_RESTORED 0.1
#define VARIANCE_MIN 0.002

struct dag_interfere {
	char name[DAG_INTERFERE_IMAGES][IMAGE_NAME_MAX];
	size_t name_len[DAG_INTERFERE_IMAGES];
	int n;
	double base_ms[DAG_INTERFERE_IMAGES]; /* 0: unknown */
	/* [serving][filler] */
	double slope[DAG_INTERFERE_IMAGES][DAG_INTERFERE_IMAGES];
	double variance[DAG_INTERFERE_IMAGES][DAG_INTERFERE_IMAGES];
};

int dag_interfere_new(struct dag_interfere **out)
{
	struct dag_interfere *m = calloc(1, sizeof(*m));

	if (!m)
		return CF_ENOMEM;
	for (int i = 0; i < DAG_INTERFERE_IMAGES; i++) {
		for (int k = 0; k < DAG_INTERFERE_IMAGES; k++) {
			m->slope[i][k] = SLOPE_INITIAL;
			m->variance[i][k] = VARIANCE_INITIAL;
		}
	}
	*out = m;
	return 0;
}

void dag_interfere_free(struct dag_interfere *m)
{
	free(m);
}

/* Index of an image, added if new; images beyond the table share its last entry. */
int dag_interfere_image_index(struct dag_interfere *m, struct str name)
{
	size_t n = name.n < IMAGE_NAME_MAX ? name.n : IMAGE_NAME_MAX;

	for (int i = 0; i < m->n; i++)
		if (m->name_len[i] == n && (n == 0 || !memcmp(m->name[i], name.p, n)))
			return i;
	if (m->n == DAG_INTERFERE_IMAGES)
		return DAG_INTERFERE_IMAGES - 1;
	if (n)
		memcpy(m->name[m->n], name.p, n);
	m->name_len[m->n] = n;
	return m->n++;
}

int dag_interfere_count(const struct dag_interfere *m)
{
	return m->n;
}

void dag_interfere_remove_from(struct dag_interfere *m, int n)
{
	m->n = n;
}

static double clamp(double v, double low, double high)
{
	return v < low ? low : v > high ? high : v;
}

static double base_latency_ms(const struct dag_interfere *m, int serving,
			      double target_ms)
{
	double base = m->base_ms[serving];

	return base > 0 ? base : target_ms * BASE_FRACTION;
}

/* Records a tail latency; the smallest is taken as the latency without load. */
void dag_interfere_observe_tail(struct dag_interfere *m, int serving, double tail_ms,
				double target_ms)
{
	double base = base_latency_ms(m, serving, target_ms);

	m->base_ms[serving] = tail_ms >= 1 && tail_ms < base ? tail_ms : base;
}

/* Load that corresponds to a tail latency, from the queue formula. */
double dag_interfere_load_of_tail(const struct dag_interfere *m, int serving,
				  double tail_ms, double target_ms)
{
	double base = base_latency_ms(m, serving, target_ms);

	return tail_ms <= base ? 0 : clamp(1 - base / tail_ms, 0, LOAD_MAX);
}

/* Load at which the tail latency reaches TARGET_FRACTION of the target. */
double dag_interfere_max_load(const struct dag_interfere *m, int serving,
			      double target_ms)
{
	return clamp(1 - base_latency_ms(m, serving, target_ms) /
				     (TARGET_FRACTION * target_ms),
		     0.1, 0.9);
}

/* Whether a load is so high that the tail latency no longer tells how high. */
bool dag_interfere_is_saturated(double load)
{
	return load >= LOAD_SATURATED;
}

/* Load that fillers add to a serving task, with the variance of this estimate. */
double dag_interfere_added_load(const struct dag_interfere *m, int serving,
				const struct dag_filler_load *fillers, size_t n,
				double *variance)
{
	double added = 0;

	*variance = 0;
	for (size_t i = 0; i < n; i++) {
		double share = fillers[i].share;

		added += m->slope[serving][fillers[i].image] * share;
		*variance += m->variance[serving][fillers[i].image] * share * share;
	}
	return added;
}

/*
 * Corrects the slopes of a serving image and these fillers, each image listed once: error
 * is the measured load less the expected one, variance that of all that is not due to the
 * slopes. A Kalman filter that neglects the covariances of the slopes.
 */
void dag_interfere_update(struct dag_interfere *m, int serving,
			  const struct dag_filler_load *fillers, size_t n, double error,
			  double variance)
{
	double slope_variance;

	dag_interfere_added_load(m, serving, fillers, n, &slope_variance);
	for (size_t i = 0; i < n; i++) {
		double *slope = &m->slope[serving][fillers[i].image];
		double *var = &m->variance[serving][fillers[i].image];
		double gain = *var * fillers[i].share / (variance + slope_variance);

		*slope = clamp(*slope + gain * error, 0, SLOPE_MAX);
		*var = clamp(*var * (1 - gain * fillers[i].share), VARIANCE_MIN,
			     VARIANCE_INITIAL);
	}
}

double dag_interfere_slope(const struct dag_interfere *m, int serving, int filler)
{
	return m->slope[serving][filler];
}

/* Exports the model as a record for the log. CF_ENOMEM. */
int dag_interfere_save(const struct dag_interfere *m, struct dag_model *out)
{
	*out = (struct dag_model){0};
	out->images.images_val = calloc((size_t)m->n + 1, sizeof(struct dag_model_image));
	out->slope_milli.slope_milli_val =
		calloc((size_t)m->n * (size_t)m->n + 1, sizeof(u_int));
	if (!out->images.images_val || !out->slope_milli.slope_milli_val) {
		dag_interfere_save_free(out);
		return CF_ENOMEM;
	}
	out->images.images_len = (u_int)m->n;
	out->slope_milli.slope_milli_len = (u_int)(m->n * m->n);
	for (int i = 0; i < m->n; i++) {
		struct dag_model_image *im = &out->images.images_val[i];

		XDR_SET(*im, name, ((struct str){m->name[i], m->name_len[i]}));
		im->base_us = (u_int)(m->base_ms[i] * 1000);
		for (int k = 0; k < m->n; k++)
			out->slope_milli.slope_milli_val[i * m->n + k] =
				(u_int)(m->slope[i][k] * 1000);
	}
	return 0;
}

void dag_interfere_save_free(struct dag_model *saved)
{
	free(saved->images.images_val);
	free(saved->slope_milli.slope_milli_val);
	*saved = (struct dag_model){0};
}

/* Loads a recorded model into a new one; ignores a record of the wrong size. */
void dag_interfere_restore(struct dag_interfere *m, const struct dag_model *saved)
{
	u_int n = saved->images.images_len;

	if (n > DAG_INTERFERE_IMAGES || saved->slope_milli.slope_milli_len != n * n)
		return;
	for (u_int i = 0; i < n; i++) {
		const struct dag_model_image *im = &saved->images.images_val[i];

		if (dag_interfere_image_index(m, XDR_STR(*im, name)) != (int)i)
			return;
		m->base_ms[i] = im->base_us / 1000.0;
		for (u_int k = 0; k < n; k++) {
			m->slope[i][k] =
				saved->slope_milli.slope_milli_val[i * n + k] / 1000.0;
			if (m->slope[i][k] != SLOPE_INITIAL)
				m->variance[i][k] = VARIANCE_RESTORED;
		}
	}
}
