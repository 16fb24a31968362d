#include "private/gossip_streams.h"

#include <glib.h>
#include <stdlib.h>

static int
compare_versions (const void *a, const void *b)
{
  uint32_t left = ((const LimpetStreamOrigin *)a)->software_hash;
  uint32_t right = ((const LimpetStreamOrigin *)b)->software_hash;

  return (left > right) - (left < right);
}

void
limpet_gossip_streams_encode (LimpetGossipStreams *streams,
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

uint32_t
limpet_gossip_streams_find (const LimpetStreamOrigins *origins,
                            const GossipMessage *message,
                            LimpetStreamOrigin *list)
{
  uint32_t count = 0;

  for (size_t i = 0; i < message->n_stream_queries && count < LIMPET_GOSSIP_MAX_STREAMS;
       i++)
    {
      uint64_t id = message->stream_queries[i];
      uint32_t software_hash = limpet_stream_origins_find (origins, id);

      if (software_hash != 0)
        list[count++] = (LimpetStreamOrigin){ .id = id, .software_hash = software_hash };
    }
  return count;
}
