/* Two instances share one budget through records in one topic, and the store
 * comes back from an older copy (a drill).
 *
 * Each instance stores a ceiling, the sum over all its incarnations, and spends
 * up to it once it has read it back. After a drill an instance ignores records
 * older than those that it has read, and writes its own one again. It may
 * crash; the next incarnation finds the record in the store, possibly an old
 * one, and charges its ceiling. The other instance writes the record that it
 * remembers under a key of its own (lost). The new incarnation charges what it
 * had not found and says so in its record.
 *
 * Assumed, as in grants.hpp: each instance has read what a drill takes, and an
 * instance does not crash while only its memory knows of tokens. Waiting times
 * are long enough for the other instance to write. An instance may have begun
 * after the copy, which then lacks its records.
 *
 * Checked: both instances together never spend more than BUDGET.
 *
 * Without an assumption, must be rejected too:
 *   -DUNREAD_RAISE a drill takes a raise that only its holder knows of
 *   -DTWO_DEAD     both crash in one drill, also while only they know of tokens
 *
 * Broken variants, each must be rejected:
 *   -DFORGET       an older record replaces the one that was read
 *   -DGRANT_OLD    an older record of its own counts as granted
 *   -DNO_RESTORE   nobody writes a lost record again
 *   -DNO_WAIT      a new incarnation does not wait for its lost record
 *   -DNOT_CHARGED  a new incarnation does not charge its lost record
 *   -DREPLACE      the record of a new incarnation replaces the lost one at the
 *                  other instance
 */
#define BUDGET 2
#define MAX_WRITES 2  /* of each instance, besides those that repeat */
#ifdef TWO_DEAD
#define MAX_CRASHES 2
#else
#define MAX_CRASHES 1
#endif
#define MAX_DRILLS 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define ABOVE(a, b) ((a) > (b) -> (a) - (b) : 0)

typedef record {
  byte number;      /* rises with each write of the instance; 0: none */
  byte incarnation;
  byte ceiling;
  byte previous;    /* charged for former incarnations, part of the ceiling */
  byte base;        /* number of the record that the incarnation found */
  byte recovered;   /* number of the lost record that it has charged */
};

/* The store and its copy: the own record of each instance, and the lost one. */
record stored[2];
record lost[2];
record copy_stored[2];
record copy_lost[2];
byte era = 1;

/* Instance i. */
byte number[2];      /* of its newest write */
byte incarnation[2];
byte granted[2];
byte used[2];        /* charged, former incarnations included */
byte previous[2];
byte base[2];
byte recovered[2];
byte read_era[2];    /* of its last read; 0: none by this incarnation */
bool must_restate[2];
byte spent[2];       /* actual spending, over all incarnations */

/* What the other instance remembers of instance i. */
record known[2];
record missing[2];   /* of a former incarnation, not counted in known */

byte drills = 0;
hidden byte next; /* ceiling to store */
byte crashes = 0;

#define COVERS(r, n) (r.base >= (n) || r.recovered >= (n))
/* Tokens that instance i counts for the other one, o. */
#define COUNT(o)                                                               \
  (known[o].ceiling +                                                          \
   (missing[o].number > 0 -> ABOVE(missing[o].ceiling, known[o].previous) : 0))
/* The newest record of i that the other instance remembers of a former
 * incarnation, and that the present one has not counted, is not in the store. */
#define UNRESTORED(i)                                                          \
  ((missing[i].number > 0 && lost[i].number < missing[i].number) ||            \
   (known[i].incarnation != incarnation[i] &&                                  \
    known[i].number > base[i] && lost[i].number < known[i].number))
#define HAS_RESTATED(i) (stored[i].number == number[i])

#define assign(to, from)                                                       \
  to.number = from.number;                                                     \
  to.incarnation = from.incarnation;                                           \
  to.ceiling = from.ceiling;                                                   \
  to.previous = from.previous;                                                 \
  to.base = from.base;                                                         \
  to.recovered = from.recovered

#define clear(r)                                                               \
  r.number = 0;                                                                \
  r.incarnation = 0;                                                           \
  r.ceiling = 0;                                                               \
  r.previous = 0;                                                              \
  r.base = 0;                                                                  \
  r.recovered = 0

inline store(i) {
  number[i]++;
  stored[i].number = number[i];
  stored[i].incarnation = incarnation[i];
  stored[i].ceiling = next;
  stored[i].previous = previous[i];
  stored[i].base = base[i];
  stored[i].recovered = recovered[i];
  must_restate[i] = false
}

/* Instance i reads the records of the other one, o. */
inline read_other(o) {
  if
#ifdef FORGET
  :: assign(known[o], stored[o])
#else
  :: stored[o].number > known[o].number ->
#ifndef REPLACE
     if
     :: known[o].number > 0 && known[o].incarnation != stored[o].incarnation &&
        !COVERS(stored[o], known[o].number) ->
        known[o].ceiling = COUNT(o);
        assign(missing[o], known[o])
     :: else -> skip
     fi;
#endif
     assign(known[o], stored[o])
#endif
  :: else -> skip
  fi;
  if
  :: lost[o].number > known[o].number && known[o].incarnation == 0 ->
     assign(known[o], lost[o])
  :: lost[o].number > missing[o].number && known[o].incarnation != 0 &&
     known[o].incarnation != lost[o].incarnation &&
     !COVERS(known[o], lost[o].number) && lost[o].number < known[o].number ->
     assign(missing[o], lost[o])
  :: else -> skip
  fi;
  if
  :: missing[o].number > 0 && COVERS(known[o], missing[o].number) ->
     clear(missing[o])
  :: else -> skip
  fi
}

/* Instance i reads its own records. */
inline read_own(i) {
  if
  :: read_era[i] != 0 && read_era[i] != era -> must_restate[i] = true
  :: else -> skip
  fi;
  read_era[i] = era;
  if
  :: lost[i].number > base[i] && lost[i].number > recovered[i] &&
     lost[i].incarnation != incarnation[i] ->
#ifndef NOT_CHARGED
     used[i] = used[i] + ABOVE(lost[i].ceiling, previous[i]);
     previous[i] = previous[i] + ABOVE(lost[i].ceiling, previous[i]);
#endif
     recovered[i] = lost[i].number;
     must_restate[i] = true
  :: else -> skip
  fi;
  if
#ifdef GRANT_OLD
  :: stored[i].incarnation == incarnation[i] ->
#else
  :: stored[i].incarnation == incarnation[i] &&
     stored[i].number == number[i] ->
#endif
     granted[i] = (stored[i].ceiling + COUNT(1 - i) <= BUDGET ->
                   MAX(granted[i], stored[i].ceiling) : granted[i])
  :: else -> skip
  fi
}

proctype instance(byte i) {
  byte writes = 0;
  do
  :: atomic { read_other(1 - i); read_own(i) }
  :: /* request one more token, after the waiting times */
     atomic {
       (writes < MAX_WRITES && read_era[i] == era && !must_restate[i] &&
        (known[1 - i].number == number[1 - i] || HAS_RESTATED(1 - i)) &&
#if !defined(NO_WAIT) && !defined(NO_RESTORE)
        !UNRESTORED(i) &&
#endif
        MAX(granted[i], used[i]) + 1 + COUNT(1 - i) <= BUDGET) ->
       read_other(1 - i);
       if
#if !defined(NO_WAIT) && !defined(NO_RESTORE)
       :: lost[i].number > base[i] && lost[i].number > recovered[i] &&
          lost[i].incarnation != incarnation[i] -> skip
#endif
       :: else ->
          if
          :: MAX(granted[i], used[i]) + 1 + COUNT(1 - i) <= BUDGET ->
             writes++;
             next = MAX(granted[i], used[i]) + 1;
             store(i)
          :: else -> skip
          fi
       fi
     }
  :: /* return idle tokens */
     atomic {
       (writes < MAX_WRITES && read_era[i] == era && granted[i] > used[i]) ->
       writes++;
       granted[i] = used[i];
       next = used[i];
       store(i)
     }
  :: /* write the own record again */
     atomic {
       (must_restate[i] && read_era[i] == era) ->
       next = MAX(granted[i], used[i]);
       store(i)
     }
#ifndef NO_RESTORE
  :: /* write again what is remembered of the other one */
     atomic {
       (read_era[i] == era && UNRESTORED(1 - i)) ->
       if
       :: missing[1 - i].number > 0 -> assign(lost[1 - i], missing[1 - i])
       :: else -> assign(lost[1 - i], known[1 - i])
       fi
     }
#endif
  :: atomic {
       used[i] < granted[i] ->
       used[i]++;
       spent[i]++;
       assert(spent[0] + spent[1] <= BUDGET)
     }
  :: /* crash, unless only this instance remembers something */
     atomic {
#ifdef TWO_DEAD
       (crashes < MAX_CRASHES) ->
#else
       (crashes < MAX_CRASHES && !UNRESTORED(1 - i) &&
        HAS_RESTATED(1 - i) && known[1 - i].number <= number[1 - i]) ->
#endif
       crashes++;
       incarnation[i]++;
       base[i] = stored[i].number;
       recovered[i] = stored[i].recovered;
       previous[i] = stored[i].ceiling;
       used[i] = previous[i];
       granted[i] = used[i];
       read_era[i] = 0;
       must_restate[i] = true;
       clear(known[1 - i]);
       clear(missing[1 - i])
     }
  :: /* the store makes a copy */
     atomic {
       drills < MAX_DRILLS ->
       assign(copy_stored[0], stored[0]);
       assign(copy_stored[1], stored[1]);
       assign(copy_lost[0], lost[0]);
       assign(copy_lost[1], lost[1])
     }
  :: /* the store comes back from it; both have read everything before */
     atomic {
       (drills < MAX_DRILLS &&
#ifndef UNREAD_RAISE
        known[0].number == stored[0].number &&
        known[1].number == stored[1].number &&
#endif
        read_era[0] == era && read_era[1] == era) ->
       drills++;
       era++;
       assign(stored[0], copy_stored[0]);
       assign(stored[1], copy_stored[1]);
       assign(lost[0], copy_lost[0]);
       assign(lost[1], copy_lost[1])
     }
  :: writes == MAX_WRITES -> break
  od
}

init {
  atomic {
    incarnation[0] = 1;
    incarnation[1] = 1;
    must_restate[0] = true;
    must_restate[1] = true;
    run instance(0);
    run instance(1)
  }
}
