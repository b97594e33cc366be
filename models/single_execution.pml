/* A not-repeatable request with a key that is claimed in the log.
 *
 * Two daemons get the same request, as a caller repeats it. Each appends a
 * claim, reads the log until it finds its own claim, and dispatches only if
 * the first claim of the key is its own. Appends may be stored and their
 * answer lost; a daemon then appends again or answers "not run". A daemon may
 * die at any point.
 *
 * Checked: the endpoint runs the request at most once, and a caller that was
 * told "not run" by every daemon it asked finds that it did not run.
 *
 * Broken variants, each must be rejected:
 *   -DNO_READ     dispatch after the append, without reading the claim back
 *   -DLIE         answer "not run" after a dispatch whose answer was lost
 */
#define DAEMONS 2
#define SLOTS 4

byte log[SLOTS];      /* claim records: daemon number + 1 */
byte length = 0;
byte runs = 0;        /* at the endpoint */
bool toldNotRun[DAEMONS];
bool dispatched[DAEMONS];

proctype daemon(byte d) {
  byte tries = 0;
  bool stored = false;

  do
  :: tries < 2 && length < SLOTS ->
       tries++;
       atomic {
         if
         :: log[length] = d + 1; length++; stored = true /* answered */
         :: log[length] = d + 1; length++ /* answer lost */
         :: skip /* never stored */
         fi
       };
       if
       :: stored -> break
       :: else -> skip
       fi
  :: true -> break /* the log is away, or this daemon gives up */
  od;
  if
  :: true -> goto done /* dies here */
  :: true -> skip
  fi;
  if
#ifdef NO_READ
  :: stored ->
#else
  :: length > 0 && log[0] == d + 1 -> /* own claim read back, first */
#endif
       dispatched[d] = true;
       runs++;
       if
       :: true -> skip /* answered */
#ifdef LIE
       :: true -> toldNotRun[d] = true
#endif
       :: true -> skip /* outcome unknown */
       fi
  :: else -> toldNotRun[d] = true
  fi;
done:
  skip
}

active proctype monitor() {
  end:
  atomic { (runs > 1) -> assert(false) }
}

init {
  atomic { run daemon(0); run daemon(1) };
  (_nr_pr == 2);
  assert(!(toldNotRun[0] && dispatched[0]));
  assert(!(toldNotRun[1] && dispatched[1]));
  assert(!(toldNotRun[0] && toldNotRun[1] && runs > 0))
}
