/* The room of workers that start whatever they are told to start: it shrinks and grows.
 */
#include <check.h>
#include <stdlib.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define N_SEEDS 100

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

static uint32_t add_unguarded(void)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	w.workers[number].unguarded = true;
	return number;
}

static void set_room(uint32_t number, uint32_t cpu, uint32_t mem)
{
	dw_set_room(&w, number, &(struct dw_room){.cpu = cpu, .mem = mem});
}

static void assert_sound(void)
{
	ck_assert_msg(!w.violation[0], "%s", w.violation);
}

static void assert_completed(uint64_t id)
{
	assert_sound();
	ck_assert_msg(dw_state(&w, id) == DAG_JOB_COMPLETED, "job %llu is in state %d",
		      (unsigned long long)id, dw_state(&w, id));
}

/* Guards against a start without an answer that is repeated after the room shrank. */
START_TEST(lost_start_is_not_repeated_in_a_smaller_room)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	w.lost_permille = 1000;
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, SECOND / 10);
	set_room(small, _i ? 8000 : 3000, _i ? 300 : 8000);
	dw_run_for(&w, 6 * SECOND);
	w.lost_permille = 0;
	dw_run_for(&w, 10 * SECOND);
	assert_completed(1);
}
END_TEST

/* Guards against a recorded run that a new leader sends though the room has shrunk. */
START_TEST(recovered_run_is_not_sent_in_a_smaller_room)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	w.lost_permille = 1000;
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, SECOND / 10);
	set_room(small, 3000, 8000);
	dw_run_for(&w, 6 * SECOND);
	dw_change_leader(&w);
	w.lost_permille = 0;
	dw_run_for(&w, 10 * SECOND);
	assert_completed(1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_room");
	TCase *tc = tcase_create("dag_room");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, lost_start_is_not_repeated_in_a_smaller_room, 0, 2);
	tcase_add_test(tc, recovered_run_is_not_sent_in_a_smaller_room);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
