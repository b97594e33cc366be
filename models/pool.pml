/* Reservations of tokens at another instance, the holder of an account.
 *
 * Three borrowers make CALLS calls each. A borrower asks the holder for BOUND
 * tokens, runs the call if it is answered, and settles what was used. Without an
 * answer it settles the reservation as unused and never runs the call. Messages
 * are delivered late, twice, in any order or never. Borrower and holder may start
 * again at any point; a new holder counts all that the former one had counted
 * (packages/grants), but knows no reservations.
 *
 * Checked: what calls have spent, and may still spend, never exceeds the tokens
 * of the holder.
 *
 * Broken variants, each must be rejected:
 *   -DRUNS_LATE_ANSWER      a call that was settled as unused runs after all
 *   -DFREES_AT_RESTART      a borrower's restart frees what it had reserved
 *   -DSETTLES_TWICE         a second copy of a settlement frees tokens again
 *   -DHOLDER_FORGETS        a new holder counts only what was settled
 *   -DCOUNTS_AFTER_ANSWER   the holder counts a reservation only when settled
 */
#define TOKENS 1
#define BOUND 1
#define CALLS 1
#define ITEMS 3 /* three borrowers; index borrower * CALLS + call */

byte counted = 0;          /* by the holder: settled use and open reservations */
byte settledUse = 0;       /* part of counted that is settled */
bool open[ITEMS];          /* reservations that the holder knows */
bool settledEarly[ITEMS];  /* settled before they were requested */
bool requested[ITEMS];     /* the request may be delivered, any number of times */
bool answered[ITEMS];      /* the answer may be delivered */
bool settlementSent[ITEMS];
byte used[ITEMS];          /* in the settlement */
bool ended[ITEMS];         /* the borrower has settled or died */
bool running[ITEMS];
byte spent = 0;            /* by calls that have ended, at most */
byte exposure = 0;         /* bounds of running calls */
byte restarts = 0;
byte holderRestarts = 0;

inline settle(i) {
  if
  :: open[i] ->
       open[i] = false;
       counted = counted - BOUND + used[i];
       settledUse = settledUse + used[i]
#ifdef SETTLES_TWICE
  :: !open[i] && counted >= BOUND - used[i] -> counted = counted - (BOUND - used[i])
  :: !open[i] && counted < BOUND - used[i] -> counted = 0
#else
  :: !open[i] -> settledEarly[i] = true
#endif
  fi
}

inline reserve(i) {
  if
  :: open[i] -> answered[i] = true
  :: !open[i] && !settledEarly[i] && counted + BOUND <= TOKENS ->
       open[i] = true;
#ifndef COUNTS_AFTER_ANSWER
       counted = counted + BOUND;
#endif
       answered[i] = true
  :: else -> skip
  fi
}

active proctype holder() {
  byte i;
end:
  do
  :: atomic { select(i : 0 .. ITEMS - 1);
       if :: requested[i] -> reserve(i) :: else -> skip fi }
  :: atomic { select(i : 0 .. ITEMS - 1);
       if :: settlementSent[i] -> settle(i) :: else -> skip fi }
  :: atomic { holderRestarts < 1 -> holderRestarts++;
#ifdef HOLDER_FORGETS
       counted = settledUse;
#endif
       i = 0;
       do
       :: i < ITEMS -> open[i] = false; settledEarly[i] = false; i++
       :: else -> break
       od }
  od
}

/* A new incarnation has other numbers, so its former calls are at their end.
 * Their messages may still arrive. */
inline restart(b) {
  i = b * CALLS;
  do
  :: i < (b + 1) * CALLS ->
       if
       :: running[i] -> running[i] = false; exposure = exposure - BOUND;
            spent = spent + BOUND
       :: else -> skip
       fi;
       if
       :: open[i] -> open[i] = false;
#ifdef FREES_AT_RESTART
            counted = counted - BOUND
#else
            settledUse = settledUse + BOUND
#endif
       :: else -> skip
       fi;
       ended[i] = true; i++
  :: else -> break
  od
}

proctype borrower(byte b) {
  byte i;
  byte use;
end:
  do
  :: atomic { select(i : 0 .. CALLS - 1); i = b * CALLS + i;
       if :: !ended[i] -> requested[i] = true :: else -> skip fi }
  :: atomic { select(i : 0 .. CALLS - 1); i = b * CALLS + i;
       if
#ifdef RUNS_LATE_ANSWER
       :: answered[i] && !running[i] ->
#else
       :: answered[i] && !running[i] && !ended[i] ->
#endif
            running[i] = true; exposure = exposure + BOUND; ended[i] = true
       :: else -> skip
       fi }
  :: atomic { select(i : 0 .. CALLS - 1); i = b * CALLS + i;
       if
       :: running[i] -> /* the call ends */
            select(use : 0 .. BOUND);
            used[i] = use;
            running[i] = false; exposure = exposure - BOUND;
            spent = spent + used[i]; settlementSent[i] = true; answered[i] = false
       :: !running[i] && requested[i] && !ended[i] -> /* no answer in time */
            ended[i] = true; used[i] = 0; settlementSent[i] = true
       :: else -> skip
       fi }
  :: atomic { restarts < 1 -> restarts++; restart(b) }
  od
}

active proctype monitor() {
end:
  atomic { spent + exposure > TOKENS -> assert(false) }
}

init { atomic { run borrower(0); run borrower(1); run borrower(2) } }
