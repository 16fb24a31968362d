/* Model of routers that follow a log in a store which may come back from a shorter copy and give out
 * offsets again (log_era.h, watch_responses.c, watch_states.c). Responses and messages of routers
 * may be lost, late, repeated or in another order, and those of earlier eras arrive late. Checked:
 * a router whose read began after the last restoration and has ended never believes to have all
 * while it lacks or has another record than the store; routers at positions of the same era as the
 * store have its records; no router numbers an era that has not begun; and from each state, reads
 * without disturbance make each router complete. MUTATION adds a fault that the check must detect:
 * 1: the store names no eras and the routers count none, 2: responses of earlier eras are applied,
 * 3: a read that began at a position of an earlier era is taken for one of the era known since. */

#ifndef MUTATION
#define MUTATION 0
#endif

#ifndef ROUTERS
#define ROUTERS 2
#endif
#ifndef MESSAGES
#define MESSAGES 1
#endif
#ifndef RESTORATIONS
#define RESTORATIONS 2
#endif
#ifndef APPENDS
#define APPENDS 2
#endif
/* The log has at most this many records. */
#ifndef RECORDS
#define RECORDS 2
#endif
/* Reads that make a router complete if nothing disturbs them. */
#define QUIET_READS 3
/* Reads of the other routers take no time. */
#ifndef SLOW_ROUTERS
#define SLOW_ROUTERS 1
#endif

/* A position; 0: none. */
#define POSITION(era, offset) ((era) * 4 + (offset) + 1)
#define ERA(position) ((position) == 0 -> 0 : ((position) - 1) / 4)
#define OFFSET(position) ((position) == 0 -> 0 : ((position) - 1) % 4)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* Records are told apart by their offset and the era in which they were appended, which takes two
 * bits of what a router or a message holds. */
#define BEFORE(records, offset) ((records) & ((1 << (2 * (offset))) - 1))
#define RECORD(records, offset) (((records) >> (2 * (offset))) & 3)

#define NO_ERA 7

typedef Call {
  byte kind;         /* NO_CALL, READ or SNAPSHOT */
  bool is_answered;
  bool is_gone;      /* the store no longer has the offset */
  bool is_overtaken; /* the router learned of an era after the call began */
  byte from;         /* position */
  byte era;          /* that the response names */
  byte end;
  byte records;
  byte least_end;    /* end of the log when the call began, and one more; 0: before a restoration */
};

typedef Router {
  byte era;          /* LimpetLogEra */
  byte named;
  byte named_era;
  byte position;     /* PlatformWatch */
  byte known_end;
  byte end_from_peers;
  byte records;
  byte least_end;    /* that of the last read that ended */
  Call call;
};

typedef Message {
  byte kind;         /* NO_MESSAGE, BATCH or STATE */
  byte from;
  byte end;
  byte records;
};

#define NO_CALL 0
#define READ 1
#define SNAPSHOT 2
#define NO_MESSAGE 0
#define BATCH 1
#define STATE 2

Router router[ROUTERS];
Message message[MESSAGES];
byte era = 0;
byte end = 0;
byte records = 0;
byte appends = 0;
bool is_outdated; /* of the response at hand */
bool is_lost;
byte batch_end;
bool is_quiet = false;

#define R router[r]
#define C router[r].call
#define M message[m]

inline select_below (chosen, count)
{
  chosen = 0;
  do
  :: chosen < count - 1 -> chosen++
  :: break
  od
}

inline append ()
{
  records = records | (era << (2 * end));
  end++;
  appends++
}

inline restore (kept)
{
  end = kept;
  records = BEFORE (records, kept);
  era++;
  r = 0;
  do
  :: r < ROUTERS ->
     R.least_end = 0;
     C.least_end = 0;
     r++
  :: else -> break
  od;
  r = 0
}

inline end_call ()
{
  C.kind = NO_CALL;
  C.is_answered = false;
  C.is_gone = false;
  C.is_overtaken = false;
  C.from = 0;
  C.era = 0;
  C.end = 0;
  C.records = 0;
  C.least_end = 0;
  R.end_from_peers = 0
}

inline set_era (number)
{
  if
  :: number > R.era ->
     R.era = number;
     C.is_overtaken = C.kind != NO_CALL
  :: else
  fi
}

inline advance_era ()
{
  set_era (R.era + 1);
  R.named_era = R.era
}

/* limpet_log_era_record() */
inline record_era ()
{
  is_outdated = false;
#if MUTATION != 1
  if
  :: C.is_overtaken && (C.era == R.named -> R.named_era : C.era) < R.era ->
     is_outdated = MUTATION != 2
  :: else
  fi;
  if
  :: is_outdated
  :: else ->
     if
     :: C.era > R.era -> set_era (C.era)
     :: C.era <= R.era && R.named != NO_ERA && C.era != R.named && R.named_era == R.era ->
        advance_era ()
     :: else
     fi;
     R.named = C.era;
     R.named_era = R.era
  fi
#endif
}

#define IS_OF_OLD_ERA (R.position > 0 && ERA (R.position) < R.era)
#if MUTATION == 3
#define IS_READ_OF_OLD_ERA IS_OF_OLD_ERA
#else
#define IS_READ_OF_OLD_ERA (ERA (C.from) < R.era)
#endif

inline start_read ()
{
  R.end_from_peers = 0;
  C.from = R.position;
  C.least_end = end + 1;
  if
  :: R.position == 0 || IS_OF_OLD_ERA -> C.kind = SNAPSHOT
  :: else -> C.kind = READ
  fi
}

inline respond ()
{
  C.is_answered = true;
  C.era = era;
  C.is_gone = C.kind == READ && OFFSET (C.from) > end;
  if
  :: C.is_gone
  :: else ->
     C.end = end;
     C.records = records
  fi
}

/* has_lost_records() */
inline check_lost_records ()
{
  is_lost = C.is_gone || C.end < OFFSET (C.from) ||
            (R.position > C.from && ERA (R.position) == ERA (C.from) &&
                C.end > OFFSET (C.from) &&
                RECORD (R.records, OFFSET (C.from)) != RECORD (C.records, OFFSET (C.from)));
#if MUTATION != 1
  if
  :: is_lost -> advance_era ()
  :: else
  fi
#endif
}

inline record_new_era ()
{
  R.known_end = MAX (R.known_end, POSITION (R.era, 0))
}

inline forget_lost_records ()
{
#if MUTATION == 1
  R.position = 0;
  R.records = 0
#else
  record_new_era ()
#endif
}

/* With the records of another topic. */
inline hear_era (number)
{
  set_era (number);
  if
  :: IS_OF_OLD_ERA -> record_new_era ()
  :: else
  fi
}

/* Applies records of the era of first, the newest of which lies before last. */
inline apply_records (first, last, new_records)
{
  if
  :: R.position > 0 && last > R.position && R.position >= first &&
     ERA (R.position) == ERA (first) ->
     R.records = BEFORE (R.records, OFFSET (R.position)) |
                 (new_records & ~((1 << (2 * OFFSET (R.position))) - 1));
     R.position = last
  :: else
  fi;
  R.known_end = MAX (R.known_end, last)
}

/* Sends others what was read, or a message that says how far this router is. */
inline send (message_kind, first, last, sent_records)
{
  if
  :: is_quiet -> m = MESSAGES
  :: else -> select_below (m, MESSAGES + 1)
  fi;
  if
  :: m < MESSAGES ->
     M.kind = message_kind;
     M.from = first;
     M.end = last;
     M.records = sent_records
  :: else /* lost */
  fi;
  m = 0
}

inline take_response ()
{
  record_era ();
  if
  :: is_outdated -> end_call ()
  :: !is_outdated && C.kind == READ && IS_READ_OF_OLD_ERA ->
     record_new_era ();
     end_call ()
  :: !is_outdated && C.kind == READ && !IS_READ_OF_OLD_ERA ->
     check_lost_records ();
     if
     :: is_lost ->
        forget_lost_records ();
        end_call ()
     :: else ->
        batch_end = POSITION (ERA (C.from), C.end);
        R.known_end = MAX (batch_end, R.end_from_peers);
        apply_records (C.from, batch_end, C.records);
        if
        :: R.position >= batch_end ->
           R.least_end = C.least_end;
           send (BATCH, C.from, batch_end, C.records)
        :: else
        fi;
        end_call ()
     fi
  :: !is_outdated && C.kind == SNAPSHOT ->
     batch_end = POSITION (R.era, C.end);
     if
     :: batch_end >= R.position ->
        R.position = batch_end;
        R.records = C.records
     :: else
     fi;
     R.known_end = MAX (R.position, R.end_from_peers);
     R.least_end = C.least_end;
     send (BATCH, R.position, R.position, 0);
     end_call ()
  fi
}

/* platform_watch_apply_batch() */
inline take_batch ()
{
  R.end_from_peers = (C.kind != NO_CALL -> MAX (R.end_from_peers, M.end) : 0);
#if MUTATION != 1
  set_era (ERA (M.end));
#endif
  if
  :: R.position == 0 || C.kind == SNAPSHOT
  :: else -> apply_records (M.from, M.end, M.records)
  fi
}

/* apply_state() */
inline take_state ()
{
  if
  :: (R.position > 0 -> M.end > R.position : ERA (M.end) >= R.era) ->
     if
     :: C.kind == SNAPSHOT -> end_call ()
     :: else
     fi;
#if MUTATION != 1
     set_era (ERA (M.end));
#endif
     R.records = M.records;
     R.position = M.end;
     R.known_end = MAX (R.known_end, M.end)
  :: else
  fi
}

/* Drops what no longer matters, which leaves fewer states. */
inline forget ()
{
  if
  :: R.known_end <= R.position -> R.known_end = 0
  :: else
  fi;
  if
  :: ERA (R.position) == era && OFFSET (R.position) + 1 >= R.least_end -> R.least_end = 0
  :: else
  fi;
  if
  :: r >= SLOW_ROUTERS -> R.named = NO_ERA; R.named_era = 0
  :: else
  fi
}

#define IS_COMPLETE (R.position > 0 && R.position >= R.known_end)

inline check ()
{
  r = 0;
  do
  :: r < ROUTERS ->
     assert (!(R.least_end > 0 && IS_COMPLETE) ||
             (ERA (R.position) == (MUTATION == 1 -> 0 : era) &&
                 OFFSET (R.position) + 1 >= R.least_end && OFFSET (R.position) <= end &&
                 R.records == BEFORE (records, OFFSET (R.position))));
#if MUTATION != 1
     assert (R.era <= era);
     assert (R.position == 0 || ERA (R.position) != era ||
             (OFFSET (R.position) <= end && R.records == BEFORE (records, OFFSET (R.position))));
#endif
     forget ();
     r++
  :: else -> break
  od;
  r = 0
}

/* A router reads until it has all, after its call has ended. */
inline read_without_disturbance ()
{
  reads = 0;
  do
  :: reads < QUIET_READS ->
     if
     :: C.kind == NO_CALL -> start_read ()
     :: else
     fi;
     if
     :: !C.is_answered -> respond ()
     :: else
     fi;
     take_response ();
     reads++
  :: else -> break
  od;
  assert (IS_COMPLETE && R.records == records && OFFSET (R.position) == end)
}

init
{
  byte r = 0;
  byte m = 0;
  byte kept = 0;
  byte reads = 0;

  atomic {
    do
    :: r < ROUTERS -> R.named = NO_ERA; r++
    :: else -> break
    od;
    r = 0
  }
  do
  :: atomic { end < RECORDS && appends < APPENDS -> append () }
  :: atomic {
       era < RESTORATIONS && end > 0 ->
       select_below (kept, end + 1);
       restore (kept);
       kept = 0
     }
  :: atomic {
       select_below (r, ROUTERS);
       select_below (m, MESSAGES);
       if
       :: C.kind == NO_CALL && r < SLOW_ROUTERS -> start_read ()
       :: C.kind == NO_CALL && r >= SLOW_ROUTERS -> start_read (); respond (); take_response ()
       :: C.kind != NO_CALL && !C.is_answered -> respond ()
       :: C.is_answered -> take_response ()
       :: C.kind != NO_CALL -> end_call () /* it failed */
       :: M.kind == BATCH -> take_batch ()
       :: M.kind == STATE -> take_state ()
       :: M.kind != NO_MESSAGE -> M.kind = NO_MESSAGE; M.from = 0; M.end = 0; M.records = 0
       :: R.position > 0 -> send (STATE, 0, R.position, R.records)
       :: R.position > 0 -> send (BATCH, R.position, R.position, 0)
       :: R.era < router[(r + 1) % ROUTERS].era -> hear_era (router[(r + 1) % ROUTERS].era)
       fi;
       is_outdated = false;
       is_lost = false;
       batch_end = 0;
       m = 0;
       d_step { check () }
     }
  :: atomic {
       select_below (r, ROUTERS);
       is_quiet = true;
       read_without_disturbance ();
       break
     }
  od
}
