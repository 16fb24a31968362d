#ifndef LIMPETROAD_PRIVATE_CONTROLLER_H
#define LIMPETROAD_PRIVATE_CONTROLLER_H

#include <json-c/json.h>

/* A controller owns one kind of state and the threads that keep it up to date. */
typedef struct LimpetController LimpetController;

typedef struct
{
  const char *name; /* key in the state dump */
  void (*start) (LimpetController *controller);
  void (*stop) (LimpetController *controller);
  void (*dump) (LimpetController *controller, json_object *object);
  void (*free) (LimpetController *controller);
} LimpetControllerOps;

struct LimpetController
{
  const LimpetControllerOps *ops;
};

#endif
