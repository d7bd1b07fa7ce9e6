#ifndef CORE_DAG_ADMIT_H
#define CORE_DAG_ADMIT_H

#include <stdint.h>

/*
 * Admission of jobs with serving tasks under shortage. Such a job holds its room until it
 * is cancelled, so one that is admitted into the room of urgent batch work delays every
 * batch job that comes after it. It is refused while the service has no room for it
 * beside that work.
 *
 * The load it answers: serving and batch tasks of one priority, and a fleet that has
 * lost a tenth of its workers.
 */

/* Capacity of one service, in thousandths of a core. */
struct dag_admit_room {
	int64_t free;	     /* in pieces that fit a batch task of the usual size */
	int64_t scraps;	     /* in smaller pieces that fit a serving task of the job */
	int64_t batch;	     /* reserved by batch tasks */
	int64_t batch_usual; /* what they reserve or wait for, but for short peaks */
	int64_t pending;     /* of serving tasks that wait, or whose worker leaves */
};

/* How long a refused caller should wait. */
struct dag_admit_return {
	int64_t missing;    /* thousandths of a core */
	int64_t queued;	    /* of jobs that were refused before and will be back */
	int64_t per_second; /* room that serving tasks have released of late */
};

/* Why a job was admitted or refused. */
struct dag_admission {
	uint32_t retry_ms; /* 0: it is admitted */
	int64_t need;	   /* of its serving tasks */
	struct dag_admit_room room;
};

int64_t dag_admit_missing(const struct dag_admit_room *room, int64_t need);
uint32_t dag_admit_retry_ms(const struct dag_admit_return *r);

#endif
