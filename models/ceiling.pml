/* Two instances share one budget through records in one ordered topic, and
 * store watermarks of their spending.
 *
 * Each instance stores a ceiling in the topic. Once the instance has read
 * everything up to its own record, its ceiling is granted as far as the budget
 * covers it in addition to the other instance's ceiling; every later record has
 * to count that ceiling in full. The response to an append may be lost, and a
 * record that returns tokens may be stored late, until a newer record of the
 * same writer is stored. An instance spends up to its granted ceiling. It
 * stores a watermark ahead of its spending and does not exceed the watermark
 * before its expiry. It may crash at any point. Its next incarnation charges
 * the watermark if that has not expired and the machine was not rebooted,
 * otherwise the complete ceiling.
 *
 * Checked: both instances together never spend more than BUDGET.
 *
 * Broken variants, each must be rejected:
 *   -DIGNORE_WATERMARK      an instance spends up to its ceiling whatever its
 *                           watermark is
 *   -DTRUST_OLD_WATERMARK   a new incarnation charges an expired watermark too
 *   -DGRANT_BEFORE_READ     a raised ceiling is granted once it is stored,
 *                           without reading the topic
 *   -DIGNORE_LATE_RETURN    a return that may still be stored does not limit
 *                           spending
 *   -DNO_FENCE              a late record is accepted after a newer one of its
 *                           writer
 */
#define BUDGET 3
#define INSTANCES 2
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The store. */
byte ceiling[INSTANCES];
byte watermark[INSTANCES];
bool has_watermark[INSTANCES]; /* one of this incarnation is stored */
bool late[INSTANCES];          /* a record of this writer may still be stored */
byte late_ceiling[INSTANCES];  /* the ceiling in the late record */

/* Time and spending. */
bool valid[INSTANCES]; /* the watermark has not expired */
byte spent[INSTANCES]; /* actual spending, over all incarnations */

#define TOTAL (spent[0] + spent[1])
#define OTHER(i) ceiling[1 - i]
#define COVERED(i) (OTHER(i) >= BUDGET -> 0 : BUDGET - OTHER(i))

proctype instance(byte i) {
  byte granted = 0;       /* ceiling granted by the topic's order */
  byte limit = 0;         /* granted, or less while a record is uncertain */
  byte used = 0;          /* charged, previous incarnations included */
  byte other = 0;         /* the other instance's ceiling as last read */
  bool uncertain = false; /* a record of this incarnation may be stored late */
  byte crashes = 0;
  byte writes = 0;
  do
  :: /* read the topic to its end */
     atomic {
       other = OTHER(i);
       granted = MAX(granted, MIN(ceiling[i], COVERED(i)));
       limit = granted;
       if
#ifndef IGNORE_LATE_RETURN
       :: uncertain && late[i] -> limit = MIN(limit, late_ceiling[i])
#endif
       :: else -> skip
       fi
     }
  :: /* request one more token, by what was read last */
     (writes < 3 && limit + 1 + other <= BUDGET) ->
     atomic {
       writes++;
       /* The uncertain record counts as stored before this one; it can't be
        * stored after. */
       granted = limit;
       uncertain = false;
#ifndef NO_FENCE
       late[i] = false;
#endif
       ceiling[i] = limit + 1;
#ifdef GRANT_BEFORE_READ
       granted = limit + 1;
       limit = granted
#endif
     }
  :: /* return idle tokens */
     (writes < 3 && !late[i] && limit > used &&
      (!has_watermark[i] || !valid[i] || watermark[i] <= used)) ->
     atomic {
       writes++;
       limit = used;
       if
       :: ceiling[i] = used; granted = used
       :: /* stored late, or never */
          late[i] = true; late_ceiling[i] = used; uncertain = true
       fi
     }
  :: /* the late record is stored */
     atomic {
       late[i] -> ceiling[i] = late_ceiling[i];
       late[i] = false;
       if
#ifndef IGNORE_LATE_RETURN
       :: uncertain -> granted = MIN(granted, late_ceiling[i])
#endif
       :: else -> skip
       fi;
       uncertain = false
     }
  :: /* store a watermark ahead of spending; the store keeps the order of
      * watermarks */
     atomic {
       used < limit ->
       watermark[i] = used + 1;
       has_watermark[i] = true;
       valid[i] = true
     }
  :: /* the watermark expires */
     valid[i] -> valid[i] = false
  :: /* spend one token */
     atomic {
       (used < limit
#ifndef IGNORE_WATERMARK
        && (!has_watermark[i] || !valid[i] || used < watermark[i])
#endif
       ) -> used++;
       spent[i]++;
       assert(TOTAL <= BUDGET)
     }
  :: /* crash; the next incarnation charges the spending of this one and writes
      * its own record */
     crashes < 2 ->
     atomic {
       crashes++;
       if
#ifdef TRUST_OLD_WATERMARK
       :: has_watermark[i] && watermark[i] < ceiling[i] ->
          used = watermark[i]
#else
       :: has_watermark[i] && valid[i] && watermark[i] < ceiling[i] ->
          used = watermark[i]
#endif
       :: /* rebooted, or the watermark has expired or is missing */
          used = ceiling[i]
       fi;
       granted = used;
       limit = used;
       ceiling[i] = used;
       late[i] = false;
       uncertain = false;
       other = OTHER(i);
       has_watermark[i] = false;
       valid[i] = false
     }
  :: crashes == 2 && writes == 3 -> break
  od
}

init {
  atomic {
    run instance(0);
    run instance(1)
  }
}
