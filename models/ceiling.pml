/* One budget, shared through records with a condition, and marks of spending.
 *
 * Two instances each keep a ceiling in the store. A ceiling is written only on
 * the condition that the store has not changed since it was read; the answer
 * may be lost. An instance spends up to its ceiling. It writes marks ahead of
 * its spending and keeps to the mark while the mark is young. It may die at any
 * point; its next incarnation charges the mark if that is young and the machine
 * was not booted anew, else the whole ceiling.
 *
 * Checked: both together never spend more than BUDGET.
 *
 * Broken variants, each must be rejected:
 *   -DPASS_MARK   an instance spends up to its ceiling whatever its mark says
 *   -DFREE_OLD    a new incarnation charges the mark however old it is
 *   -DNO_REREAD   a ceiling is written without the condition
 *   -DTRUST_LOST  a raise counts as stored though its answer was lost
 */
#define BUDGET 4
#define INSTANCES 2

/* The store. */
byte ceiling[INSTANCES];
byte mark[INSTANCES];
bool marked[INSTANCES]; /* a mark of this incarnation is stored */
byte version = 0;       /* end of the topic, modulo its few values */

/* The world. */
bool young[INSTANCES];  /* less than the validity has passed since the mark */
byte spent[INSTANCES];  /* truly, over all incarnations */

#define TOTAL (spent[0] + spent[1])
#define OTHER(i) ceiling[1 - i]

proctype instance(byte i) {
  byte limit = 0;   /* believed ceiling */
  byte used = 0;    /* charged, former incarnations included */
  byte known = 0;   /* the other's ceiling as read */
  byte at = 0;      /* version as read */
  byte deaths = 0;
  byte writes = 0;
  do
  :: /* read the topic */
     atomic { known = OTHER(i); at = version; limit = ceiling[i] }
  :: /* raise, if the sum allows */
     (writes < 3 && limit + 1 + known <= BUDGET) ->
     atomic {
       writes++;
       if
#ifndef NO_REREAD
       :: at != version -> skip /* refused */
#endif
#ifdef NO_REREAD
       :: true ->
#else
       :: at == version ->
#endif
          ceiling[i] = limit + 1;
          version = (version + 1) % 16;
          at = version;
          if
          :: limit = limit + 1
          :: skip /* stored, the answer is lost */
          fi
       :: /* not stored, no answer */
#ifdef TRUST_LOST
          limit = limit + 1
#else
          skip
#endif
       fi
     }
  :: /* hand back what is idle */
     (writes < 3 && limit > used && (!marked[i] || !young[i] || mark[i] <= used)) ->
     atomic {
       writes++;
       if
       :: at == version ->
          ceiling[i] = used;
          version = (version + 1) % 16;
          at = version;
       :: else -> skip
       fi;
       limit = used
     }
  :: /* mark ahead; the store keeps the order of marks */
     atomic {
       used < limit ->
       mark[i] = used + 1;
       marked[i] = true;
       young[i] = true
     }
  :: /* time passes */
     young[i] -> young[i] = false
  :: /* spend one */
     atomic {
       (used < limit
#ifndef PASS_MARK
        && (!marked[i] || !young[i] || used < mark[i])
#endif
       ) -> used++;
       spent[i]++;
       assert(TOTAL <= BUDGET)
     }
  :: /* die; the next incarnation adopts and writes its own record */
     deaths < 2 ->
     atomic {
       deaths++;
       if
#ifdef FREE_OLD
       :: marked[i] && mark[i] < ceiling[i] -> used = mark[i]
#else
       :: marked[i] && young[i] && mark[i] < ceiling[i] -> used = mark[i]
#endif
       :: used = ceiling[i] /* booted anew, or the mark is old or missing */
       fi;
       limit = used;
       ceiling[i] = used;
       version = (version + 1) % 16;
       at = version;
       known = OTHER(i);
       marked[i] = false;
       young[i] = false
     }
  :: deaths == 2 && writes == 3 -> break
  od
}

init {
  atomic {
    run instance(0);
    run instance(1)
  }
}
