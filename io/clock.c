#include "io/clock.h"

#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/*
 * Monotonic microseconds. CLOCK_BOOTTIME also counts while the VM is suspended, so a
 * lease ends during a suspension.
 */
int64_t clock_us(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

/* clock_us() in seconds, for time-outs: ev_now() steps with the time of day. */
double clock_s(void)
{
	return (double)clock_us() / 1e6;
}

/* Microseconds since 1970. May step; used only for times shown to operators. */
int64_t clock_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}
