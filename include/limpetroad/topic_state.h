#ifndef LIMPETROAD_TOPIC_STATE_H
#define LIMPETROAD_TOPIC_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup topic_state State of a keyed topic
 *  The newest record of each key of a log topic, as one router knows it. Routers pass it
 *  on to others that cannot read the log. A record never replaces one of a later offset.
 *
 *  limpet_topic_state_new() → limpet_topic_state_put() for each record, or
 *  limpet_topic_state_begin_list() → limpet_topic_state_put() →
 *  limpet_topic_state_end_list() for a list of all keys → limpet_topic_state_delete().
 */
typedef struct LimpetTopicState LimpetTopicState;

/** Receives the newest value of a key. */
typedef void (*LimpetTopicStateHandler) (
    void *user, const char *key, const char *value, size_t length, int64_t offset);

LimpetTopicState *limpet_topic_state_new (void);
void limpet_topic_state_delete (LimpetTopicState *state);

/** Records the value of \p key (copied), or its removal if \p value is NULL. Returns
 *  false, and changes nothing, if a later record of the key is known. */
bool limpet_topic_state_put (LimpetTopicState *state,
                             const char *key,
                             const char *value,
                             size_t length,
                             int64_t offset);
void limpet_topic_state_begin_list (LimpetTopicState *state);
/** Removes the keys that were not put since limpet_topic_state_begin_list(), unless their
 *  records are not before \p end, the offset up to which the list is complete. */
void limpet_topic_state_end_list (LimpetTopicState *state, int64_t end);
/** Returns whether another record is known at \p offset than that of \p key (of
 *  \p key_length bytes) with this value. */
bool limpet_topic_state_contradicts (const LimpetTopicState *state,
                                     int64_t offset,
                                     const char *key,
                                     size_t key_length,
                                     const char *value,
                                     size_t length);
/** Returns whether \p key has a value. */
bool limpet_topic_state_has (const LimpetTopicState *state, const char *key);
/** Returns the number of keys that have a value. */
uint32_t limpet_topic_state_count (const LimpetTopicState *state);

/** Appends the state to \p out, and that it has all records before offset \p end. */
void limpet_topic_state_write (const LimpetTopicState *state, int64_t end, GString *out);
/** Checks a written state and sets \p end. Returns false if it is malformed. */
bool limpet_topic_state_check (const char *data, size_t length, int64_t *end);
/** Takes over a written state, which has been checked: its records, where no later ones
 * are known, and that keys which it lacks were removed. */
void limpet_topic_state_merge (LimpetTopicState *state, const char *data, size_t length);
/** Calls \p handler for each key that has a value. */
void limpet_topic_state_for_each (const LimpetTopicState *state,
                                  LimpetTopicStateHandler handler,
                                  void *user);

#endif
