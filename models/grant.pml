/* Grants of one budget with witnesses. The log orders all records.
 *
 * Two holders, one in each of two zones, request grants of a budget of CREDITS
 * tokens. Each response costs one token. A holder ends a response only after
 * the witness has stored the bill line of the response. A witness that suspects
 * its holder, rightly or wrongly, seals the grant and appends a close with the
 * lines that it has stored. Holders may be paused at any point (the scheduler
 * of the checker does so) and may die at any point. Appends may be stored
 * twice.
 *
 * Checked: the credits are never exceeded, every delivered response is billed
 * once its grant has closed, and all tokens of closed grants are either billed
 * or available again, even if a holder died.
 *
 * Broken variants, each must be rejected:
 *   -DWITNESS_DOES_NOT_SEAL  the witness still stores lines after its close
 *   -DSECOND_CLOSE_APPLIED   a second close of a grant is applied as well
 *   -DHOLDER_SKIPS_WITNESS   the holder ends a response without the witness
 */
#define CREDITS 3
#define GRANT_SIZE 2  /* tokens requested by one grant */
#define HOLDERS 2

/* State folded from the log. Arrays are indexed by holder; each holder has one
 * grant. */
int available = CREDITS;
int granted[HOLDERS];   /* tokens of the grant, 0 before it is accepted */
bool open[HOLDERS];
bool closed[HOLDERS];
int billed[HOLDERS];    /* bill lines that count */

/* Sets of bill lines, represented by their sizes since every line has its own
 * key. */
int witnessed[HOLDERS]; /* lines stored by the witness */
int logged[HOLDERS];    /* lines that the holder has appended to the log */
int delivered[HOLDERS]; /* responses that have ended */
bool sealed[HOLDERS];   /* the witness refuses further lines */
bool dead[HOLDERS];
int total = 0;

inline accept(h) {
  atomic {
    if
    :: !open[h] && !closed[h] && available >= GRANT_SIZE ->
         granted[h] = GRANT_SIZE; available = available - GRANT_SIZE;
         open[h] = true
    :: !open[h] && !closed[h] && available > 0 && available < GRANT_SIZE ->
         granted[h] = available; available = 0; open[h] = true
    :: else -> skip /* duplicate request, or nothing available */
    fi
  }
}

/* A key is billed once, so a close bills only those of its lines that are not
 * billed yet. */
inline close(h, lines) {
  atomic {
    if
#ifdef SECOND_CLOSE_APPLIED
    :: granted[h] > 0 && (open[h] || closed[h]) ->
#else
    :: open[h] ->
#endif
         if
         :: lines > billed[h] -> billed[h] = lines
         :: else -> skip
         fi;
         available = available + granted[h] - billed[h];
         open[h] = false; closed[h] = true
    :: else -> skip
    fi
  }
}

proctype holder(int h) {
  int settled = 0;      /* bill lines made by this holder */
  int reserved = 0;     /* reservations not settled yet */
  bool refused = false; /* the witness has refused a line */

  accept(h);
  if
  :: accept(h) /* the grant request was stored twice */
  :: skip
  fi;
  do
  :: dead[h] -> break
  :: !dead[h] && !refused && open[h] && settled + reserved < granted[h] ->
       reserved++
  :: !dead[h] && !refused && reserved > 0 ->
       /* Settle: send the bill line to the witness; end the response only if
        * the witness stores the line. */
       atomic {
         if
#ifdef HOLDER_SKIPS_WITNESS
         :: true -> delivered[h]++; settled++; reserved--
#else
         :: !sealed[h] ->
              witnessed[h]++; settled++; reserved--;
              delivered[h]++
         :: sealed[h] -> refused = true; reserved = 0
#endif
         fi
       }
  :: !dead[h] && settled > logged[h] ->
       atomic { /* append a bill entry; void after the close */
         if
         :: open[h] && settled > billed[h] -> billed[h] = settled
         :: else -> skip
         fi;
         logged[h] = settled
       }
  :: !dead[h] && reserved == 0 -> /* close the grant and end */
       close(h, settled);
       if
       :: close(h, settled) /* the close was stored twice */
       :: skip
       fi;
       break
  :: true -> dead[h] = true; break
  od
}

proctype witness(int h) {
  int lines;
  bool mayClose = true; /* the witness has not closed the grant */

  /* The witness may suspect its holder at any time, rightly or wrongly. */
  do
  :: mayClose && open[h] ->
       atomic {
#ifndef WITNESS_DOES_NOT_SEAL
         sealed[h] = true;
#endif
         lines = witnessed[h]
       };
       close(h, lines);
       if
       :: close(h, lines) /* the response of the log was lost: appended again */
       :: skip
       fi;
       mayClose = false
  :: true -> break
  od;
  /* Finally the witness suspects its holder if the holder is dead. */
  (closed[h] || (dead[h] && open[h]) || (dead[h] && !open[h]));
  if
  :: dead[h] && open[h] ->
       atomic { sealed[h] = true; lines = witnessed[h] };
       close(h, lines)
  :: else -> skip
  fi
}

/* Asserts the limits in every state. */
active proctype monitor() {
  end:
  atomic {
    (billed[0] + billed[1] > CREDITS || available < 0 ||
     delivered[0] + delivered[1] > CREDITS) ->
      assert(false)
  }
}

init {
  atomic {
    run holder(0); run holder(1);
    run witness(0); run witness(1)
  };
  /* Waits until only the monitor and this process are left. */
  (_nr_pr == 2);
  assert(!closed[0] || delivered[0] <= billed[0]);
  assert(!closed[1] || delivered[1] <= billed[1]);
  assert(billed[0] + billed[1] + available == CREDITS ||
         open[0] || open[1])
}
