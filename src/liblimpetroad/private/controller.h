#ifndef LIMPETROAD_PRIVATE_CONTROLLER_H
#define LIMPETROAD_PRIVATE_CONTROLLER_H

#include <json-c/json.h>

/* A controller owns one part of the router's state and the threads that update it. Call
 * start(), stop() and free() in this order. */
typedef struct LimpetController LimpetController;

typedef struct
{
  const char *name; /* key in the state dump */
  void (*start) (LimpetController *controller);
  void (*stop) (LimpetController *controller);
  void (*dump) (LimpetController *controller, json_object *object); /* fills object */
  void (*free) (LimpetController *controller);
} LimpetControllerOps;

struct LimpetController
{
  const LimpetControllerOps *ops;
};

#endif
