#ifndef CORE_DAG_INTERFERE_H
#define CORE_DAG_INTERFERE_H

#include <stdbool.h>

#include "base/str.h"
#include "proto/dag.h"

/*
 * Model of the interference between container images: how much the fillers of one image
 * slow down the serving tasks of another. As in a queue, the tail latency of a serving
 * task is base / (1 - load). Its load is its own load plus, for each filler on the VM,
 * the slope of the pair of images times the filler's share of the VM's CPU. The slopes
 * are learned from reported tail latencies. Memory: one fixed-size table.
 */
#define DAG_INTERFERE_IMAGES 64

struct dag_interfere;

/* Fillers of one image on the VM of a serving task: their share of the VM's CPU in use.
 */
struct dag_filler_load {
	int image;
	double share;
};

int dag_interfere_new(struct dag_interfere **out);
void dag_interfere_free(struct dag_interfere *m);
int dag_interfere_image_index(struct dag_interfere *m, struct str name);
void dag_interfere_observe_tail(struct dag_interfere *m, int serving, double tail_ms,
				double target_ms);
double dag_interfere_load_of_tail(const struct dag_interfere *m, int serving,
				  double tail_ms, double target_ms);
double dag_interfere_max_load(const struct dag_interfere *m, int serving,
			      double target_ms);
bool dag_interfere_is_saturated(double load);
double dag_interfere_added_load(const struct dag_interfere *m, int serving,
				const struct dag_filler_load *fillers, size_t n,
				double *variance);
void dag_interfere_update(struct dag_interfere *m, int serving,
			  const struct dag_filler_load *fillers, size_t n, double error,
			  double variance);
double dag_interfere_slope(const struct dag_interfere *m, int serving, int filler);

/*
 * The saved form borrows the image names from the model. The caller releases it with
 * dag_interfere_save_free().
 */
int dag_interfere_save(const struct dag_interfere *m, struct dag_model *out);
void dag_interfere_save_free(struct dag_model *saved);
void dag_interfere_restore(struct dag_interfere *m, const struct dag_model *saved);

/* Number of images, and removal of those that were added since it was so; no model of
 * them may have been learned. */
int dag_interfere_count(const struct dag_interfere *m);
void dag_interfere_remove_from(struct dag_interfere *m, int n);

#endif
