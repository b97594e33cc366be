/* A not-repeatable request whose key is claimed in the log.
 *
 * The caller retries, so two daemons get the request. Each daemon appends a
 * claim, reads the log until it finds the claim and dispatches the request only
 * if its claim is the first one of the key. The response to an append may be
 * lost although the append was stored; the daemon then appends again or
 * responds "not run" to the caller. A daemon may die at any point.
 *
 * Checked: the endpoint executes the request at most once, no daemon responds
 * "not run" after it has dispatched the request, and the request was not
 * executed if both daemons have responded "not run".
 *
 * Broken variants, each must be rejected:
 *   -DCLAIM_NOT_READ_BACK          dispatch after the append, without reading
 *                                  the claim back
 *   -DNOT_RUN_AFTER_LOST_RESPONSE  respond "not run" after a dispatch whose
 *                                  response was lost
 */
#define DAEMONS 2
#define LOG_SLOTS 4

byte log[LOG_SLOTS];  /* claim records: index of the daemon + 1 */
byte length = 0;      /* number of records in the log */
byte executions = 0;  /* at the endpoint */
bool reportedNotRun[DAEMONS]; /* the daemon has responded "not run" */
bool dispatched[DAEMONS];     /* the daemon has sent the request on */

proctype daemon(byte d) {
  byte attempts = 0;
  bool stored = false;

  do
  :: attempts < 2 && length < LOG_SLOTS ->
       attempts++;
       atomic {
         if
         :: log[length] = d + 1; length++; stored = true
         :: log[length] = d + 1; length++ /* stored, but the response is lost */
         :: skip /* not stored */
         fi
       };
       if
       :: stored -> break
       :: else -> skip
       fi
  :: true -> break /* the log is unavailable, or this daemon gives up */
  od;
  if
  :: true -> goto done /* the daemon dies */
  :: true -> skip
  fi;
  if
#ifdef CLAIM_NOT_READ_BACK
  :: stored ->
#else
  :: length > 0 && log[0] == d + 1 -> /* the claim read back is the first one */
#endif
       dispatched[d] = true;
       executions++;
       if
       :: true -> skip /* response received */
#ifdef NOT_RUN_AFTER_LOST_RESPONSE
       :: true -> reportedNotRun[d] = true
#endif
       :: true -> skip /* response lost, outcome unknown */
       fi
  :: else -> reportedNotRun[d] = true
  fi;
done:
  skip
}

active proctype monitor() {
  end:
  atomic { (executions > 1) -> assert(false) }
}

init {
  atomic { run daemon(0); run daemon(1) };
  (_nr_pr == 2);
  assert(!(reportedNotRun[0] && dispatched[0]));
  assert(!(reportedNotRun[1] && dispatched[1]));
  assert(!(reportedNotRun[0] && reportedNotRun[1] && executions > 0))
}
