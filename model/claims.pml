/* Model of the claims on one idempotency key in the log. Any append may be lost, duplicated or
 * delayed, and every router may pause or crash at every step. Assertions: the request runs at most
 * once, and if a caller receives the outcome "not run", no attempt has run it. MUTATION=1, 2 or 3
 * adds a fault to the model that the check must detect. */

#ifndef MUTATION
#define MUTATION 0
#endif

/* Each attempt appends its claim at most twice. Appends to a full log are lost. */
#define ATTEMPTS 3
#define RECORDS 7
#define NO_ATTEMPT 255

mtype = { claim, not_run };

/* The records of the log. */
mtype kind[RECORDS];
byte attempt_of[RECORDS];
byte length = 0;

/* Number of times that the target ran the request. */
byte runs = 0;

/* Appends a record or loses it; the writer does not learn which. */
inline append (record_kind, id)
{
  atomic {
    if
    :: length < RECORDS ->
       kind[length] = record_kind;
       attempt_of[length] = id;
       length++
    :: true
    fi
  }
}

/* Replays the log as claim_index.c does and sets winner to the attempt that won the key. */
inline replay (winner)
{
  d_step {
    winner = NO_ATTEMPT;
    abandoned = 0;
    i = 0;
    do
    :: i < length ->
       if
       :: kind[i] == claim && winner == NO_ATTEMPT && !(abandoned & (1 << attempt_of[i])) ->
          winner = attempt_of[i]
       :: kind[i] == not_run ->
          abandoned = abandoned | (1 << attempt_of[i]);
          if
          :: winner == attempt_of[i] -> winner = NO_ATTEMPT
          :: else
          fi
       :: else
       fi;
       i++
    :: else -> break
    od;
    i = 0;
    abandoned = 0
  }
}

proctype attempt (byte self)
{
  byte winner = NO_ATTEMPT;
  byte abandoned = 0;
  byte i = 0;
  byte appends = 0;

  do
  :: appends < 2 -> append (claim, self); appends++
  :: replay (winner);
     if
     :: winner == self -> break
#if MUTATION == 1
     :: winner != self && appends > 0 -> break /* does not read its claim back */
#endif
#if MUTATION == 2
     :: winner != NO_ATTEMPT && winner != self -> break /* runs on another attempt's claim */
#endif
     :: winner != self -> skip
     fi
  :: appends > 0 -> goto undecided /* the deadline passed without a decision */
  :: goto crashed
  od;

  /* The attempt won. A pause of any length is possible here. */
  if
  :: runs++; assert (runs <= 1); goto crashed /* sent once; no later step sends it again */
  :: /* the target refused the request before starting it, or the deadline passed */
     assert (runs == 0); /* the caller receives "not run" */
     append (not_run, self);
     append (not_run, self);
#if MUTATION == 3
     runs++; /* runs after it was abandoned */
     assert (runs <= 1);
#endif
     goto crashed
  :: goto crashed
  fi;

undecided: /* the caller receives "unknown" */
  append (not_run, self);
crashed:
  skip
}

init
{
  byte id = 0;

  atomic {
    do
    :: id < ATTEMPTS -> run attempt (id); id++
    :: else -> break
    od
  }
}
