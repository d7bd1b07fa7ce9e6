#include "carawayfrontd/disk_sync.h"

#include <stdlib.h>
#include <unistd.h>

#include "base/err.h"
#include "io/async_sync.h"
#include "io/clock.h"

struct disk_sync {
	struct disk_sync_options opt;
	struct async_sync *async;
	struct ev_io ended;
	bool running;
	int64_t start_us;
	int64_t duration_us;
	int err; /* of the newest sync */
};

static void on_ended(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct disk_sync *s = w->data;
	uint64_t n;

	if (read(async_sync_event_fd(s->async), &n, sizeof(n)) != sizeof(n) && !s->err)
		return;
	disk_sync_wait(s);
	s->opt.user->ops->done(s->opt.user, s->err, s->duration_us);
}

/* The disk must stay open until disk_sync_free(). */
int disk_sync_new(const struct disk_sync_options *opt, struct disk_sync **out)
{
	struct disk_sync *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return CF_ENOMEM;
	s->opt = *opt;
	err = async_sync_new(&s->async);
	if (err) {
		free(s);
		return err;
	}
	ev_io_init(&s->ended, on_ended, async_sync_event_fd(s->async), EV_READ);
	s->ended.data = s;
	ev_io_start(opt->loop, &s->ended);
	*out = s;
	return 0;
}

/*
 * Starts a sync of everything appended; its end is reported through done(). The one
 * before must have been reported.
 */
void disk_sync_start(struct disk_sync *s)
{
	int fd;

	s->start_us = clock_us();
	s->err = state_disk_sync_begin(s->opt.disk, &fd);
	if (!s->err)
		s->err = async_sync_start(s->async, fd);
	s->running = !s->err;
	if (s->err)
		ev_feed_event(s->opt.loop, &s->ended, EV_READ);
}

/*
 * Blocks until no sync runs, as the log allows no other operation before. The end is
 * still reported, later.
 */
void disk_sync_wait(struct disk_sync *s)
{
	if (!s->running)
		return;
	s->err = state_disk_sync_end(s->opt.disk, async_sync_finish(s->async));
	s->duration_us = clock_us() - s->start_us;
	s->running = false;
}

/* Waits for a sync that runs; its end is not reported. */
void disk_sync_free(struct disk_sync *s)
{
	if (!s)
		return;
	disk_sync_wait(s);
	ev_io_stop(s->opt.loop, &s->ended);
	async_sync_free(s->async);
	free(s);
}
