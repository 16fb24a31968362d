/* Claims of one key in the log: any number of appends may be lost, doubled or late, and every
 * router may pause or crash at every step. Checked: the order runs at most once, and whenever a
 * caller is told "not run", it has not run. Compile with MISTAKE=1, 2 or 3 for a seeded mistake
 * that the check must find. */

#ifndef MISTAKE
#define MISTAKE 0
#endif

#define ATTEMPTS 3
#define RECORDS 7
#define NOBODY 255

mtype = { claim, promise };

/* The log. */
mtype kind[RECORDS];
byte attempt_of[RECORDS];
byte length = 0;

/* What happened at the target and towards the callers. */
byte runs = 0;

/* Appends a record, or does not; the writer cannot tell which. */
inline append (what, who)
{
  atomic {
    if
    :: length < RECORDS ->
       kind[length] = what;
       attempt_of[length] = who;
       length++
    :: true
    fi
  }
}

/* Folds the log as claim_index.c does. */
inline fold (winner)
{
  d_step {
    winner = NOBODY;
    voids = 0;
    i = 0;
    do
    :: i < length ->
       if
       :: kind[i] == claim && winner == NOBODY && !(voids & (1 << attempt_of[i])) ->
          winner = attempt_of[i]
       :: kind[i] == promise ->
          voids = voids | (1 << attempt_of[i]);
          if
          :: winner == attempt_of[i] -> winner = NOBODY
          :: else
          fi
       :: else
       fi;
       i++
    :: else -> break
    od;
    i = 0;
    voids = 0
  }
}

proctype attempt (byte me)
{
  byte winner = NOBODY;
  byte voids = 0;
  byte i = 0;
  byte appends = 0;

  do
  :: appends < 2 -> append (claim, me); appends++
  :: fold (winner);
     if
     :: winner == me -> break
#if MISTAKE == 1
     :: winner != me && appends > 0 -> break /* acts on the append's answer alone */
#endif
#if MISTAKE == 2
     :: winner != NOBODY && winner != me -> break /* takes over a claim of another */
#endif
     :: winner != me -> skip
     fi
  :: appends > 0 -> goto give_up /* undecided at the deadline */
  :: goto crashed
  od;

  /* Won; a pause of any length may come here. */
  if
  :: runs++; assert (runs <= 1); goto crashed /* sent once; whatever comes after runs nothing */
  :: /* refused by the target before it started, or past the deadline */
     assert (runs == 0); /* told: not run */
     append (promise, me);
     append (promise, me);
#if MISTAKE == 3
     runs++; /* runs after its promise */
     assert (runs <= 1);
#endif
     goto crashed
  :: goto crashed
  fi;

give_up: /* told: unknown */
  append (promise, me);
crashed:
  skip
}

init
{
  byte who = 0;

  atomic {
    do
    :: who < ATTEMPTS -> run attempt (who); who++
    :: else -> break
    od
  }
}
