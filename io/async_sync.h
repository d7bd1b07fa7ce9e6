#ifndef IO_ASYNC_SYNC_H
#define IO_ASYNC_SYNC_H

/* One fdatasync at a time that the kernel carries out while the event loop goes on. */
struct async_sync;

int async_sync_new(struct async_sync **out);
int async_sync_event_fd(const struct async_sync *s);
int async_sync_start(struct async_sync *s, int fd);
int async_sync_finish(struct async_sync *s);
void async_sync_free(struct async_sync *s);

#endif
