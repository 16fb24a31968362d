#ifndef LIMPETROAD_COLD_BOUND_H
#define LIMPETROAD_COLD_BOUND_H

/** \defgroup cold_bound Bound on cold targets
 *  How many requests a cold target gets from all routers together in any second, at most:
 *  excess times the requests per second that its service names, plus slack.
 */
typedef struct
{
  double excess; /**< 1 or more */
  double slack;  /**< requests */
} LimpetColdBound;

#endif
