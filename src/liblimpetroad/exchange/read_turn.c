#include "private/read_turn.h"

/* Connections that may fill a buffer in one iteration of the loop, so that the others,
 * whose reads are short, wait for some milliseconds at most. */
#define MAX_TURNS 16

void
limpet_read_turn_init (LimpetReadTurn *turn,
                       GQueue *waiting,
                       void (*stop) (void *owner),
                       void (*resume) (void *owner),
                       void *owner)
{
  *turn = (LimpetReadTurn){
    .waiting = waiting, .stop = stop, .resume = resume, .owner = owner
  };
  turn->link.data = turn;
}

void
limpet_read_turn_end_if_full (LimpetReadTurn *turn, size_t count, size_t size)
{
  if (count < size || turn->is_waiting)
    return;
  turn->is_waiting = true;
  g_queue_push_tail_link (turn->waiting, &turn->link);
  turn->stop (turn->owner);
}

void
limpet_read_turn_cancel (LimpetReadTurn *turn)
{
  if (turn->is_waiting)
    g_queue_unlink (turn->waiting, &turn->link);
  turn->is_waiting = false;
}

bool
limpet_read_turns_resume (GQueue *waiting)
{
  for (int i = 0; i < MAX_TURNS && waiting->length > 0; i++)
    {
      LimpetReadTurn *turn = g_queue_peek_head (waiting);

      limpet_read_turn_cancel (turn);
      turn->resume (turn->owner);
    }
  return waiting->length > 0;
}
