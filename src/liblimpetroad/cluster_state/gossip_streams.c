#include "private/gossip_streams.h"

#include <glib.h>
#include <stdlib.h>

/* Origins in a regular digest. */
#define MAX_DIGEST_STREAMS 24

static int
compare_versions (const void *a, const void *b)
{
  uint32_t left = ((const LimpetStreamOrigin *)a)->software_hash;
  uint32_t right = ((const LimpetStreamOrigin *)b)->software_hash;

  return (left > right) - (left < right);
}

/* Adds the origins in list, which it sorts, to message. */
static void
encode (LimpetGossipStreams *streams,
        LimpetStreamOrigin *list,
        uint32_t count,
        GossipMessage *message)
{
  StreamOrigins *group = NULL;

  qsort (list, count, sizeof *list, compare_versions);
  for (uint32_t i = 0; i < count; i++)
    {
      streams->ids[i] = list[i].id;
      if (group == NULL || group->software != list[i].software_hash)
        {
          group = &streams->groups[message->n_stream_origins];
          stream_origins__init (group);
          group->software = list[i].software_hash;
          group->streams = &streams->ids[i];
          streams->pointers[message->n_stream_origins++] = group;
        }
      group->n_streams++;
    }
  message->stream_origins = streams->pointers;
}

bool
limpet_gossip_streams_receive (LimpetStreamOrigins *origins,
                               const GossipMessage *message,
                               LimpetMs now_ms)
{
  for (size_t i = 0; i < message->n_stream_origins; i++)
    for (size_t j = 0; j < message->stream_origins[i]->n_streams; j++)
      {
        LimpetStreamOrigin origin = {
          .id = message->stream_origins[i]->streams[j],
          .software_hash = message->stream_origins[i]->software,
        };

        if (origin.software_hash != 0)
          limpet_stream_origins_receive (origins, &origin, now_ms);
      }
  return message->n_stream_origins > 0;
}

bool
limpet_gossip_streams_answer (const LimpetStreamOrigins *origins,
                              const GossipMessage *query,
                              LimpetGossipStreams *streams,
                              GossipMessage *answer)
{
  LimpetStreamOrigin list[LIMPET_GOSSIP_MAX_STREAMS];
  uint32_t count = 0;

  for (size_t i = 0; i < query->n_stream_queries && count < LIMPET_GOSSIP_MAX_STREAMS;
       i++)
    {
      LimpetStreamOrigin *origin = &list[count];

      origin->id = query->stream_queries[i];
      origin->software_hash = limpet_stream_origins_find (origins, origin->id);
      count += origin->software_hash != 0;
    }
  encode (streams, list, count, answer);
  return count > 0;
}

uint32_t
limpet_gossip_streams_collect (LimpetStreamOrigins *origins,
                               LimpetGossipStreams *streams,
                               GossipMessage *digest)
{
  LimpetStreamOrigin list[MAX_DIGEST_STREAMS];
  uint32_t count = limpet_stream_origins_collect (origins, list, MAX_DIGEST_STREAMS);

  encode (streams, list, count, digest);
  return count;
}
