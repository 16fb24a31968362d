#ifndef LIMPETROAD_PRIVATE_READ_TURN_H
#define LIMPETROAD_PRIVATE_READ_TURN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Turns of connections that read from the same event loop. libuv reads from a connection
 * many times in a row as long as each read fills the buffer; peers that send without end
 * would leave the others waiting. A connection whose read filled the buffer therefore
 * stops reading until the next iteration of the loop.
 *
 * A turn is a member of its connection: init → end_if_full after each read → … → cancel
 * before the connection is closed. */
typedef struct
{
  GQueue *waiting; /* of the loop; of LimpetReadTurn */
  GList link;
  void (*stop) (void *owner);
  void (*resume) (void *owner); /* unless the owner has stopped reading meanwhile */
  void *owner;
  bool is_waiting;
} LimpetReadTurn;

void limpet_read_turn_init (LimpetReadTurn *turn,
                            GQueue *waiting,
                            void (*stop) (void *owner),
                            void (*resume) (void *owner),
                            void *owner);
/* Ends the turn if a read of count bytes filled the buffer. */
void limpet_read_turn_end_if_full (LimpetReadTurn *turn, size_t count, size_t size);
void limpet_read_turn_cancel (LimpetReadTurn *turn);
/* Begins the turns of some of the connections that wait. Must be called in each iteration
 * of the loop, before it waits for input; returns whether others still wait, so that the
 * loop must not wait. */
bool limpet_read_turns_resume (GQueue *waiting);

#endif
