#ifndef LIMPETROAD_PRIVATE_PATHS_H
#define LIMPETROAD_PRIVATE_PATHS_H

#include "private/exchange.h"

/* The paths of an exchange to its targets: its own links, or other routers while its own
 * links are cut, for each group of targets. Connects the isolation detector
 * (limpetroad/isolation.h) with the connections. Without relay ops the own links are
 * always used. */

void limpet_paths_init (LimpetExchange *exchange);
void limpet_paths_clear (LimpetExchange *exchange);

/* Records that an own connection to a target was established. */
void limpet_paths_record_connected (LimpetExchange *exchange, const LimpetTarget *target);
/* Returns when an own connection to another target of the group was last established; 0
 * if none is known. */
LimpetMs limpet_paths_other_connected_ms (LimpetExchange *exchange,
                                          const LimpetTarget *target);
/* Probes another target of the group, if there is one that has not failed, for
 * limpet_paths_other_connected_ms(). */
void limpet_paths_probe_other (LimpetExchange *exchange, const LimpetTarget *target);
/* Records bytes from a target on an own connection, or its failure before any. */
void limpet_paths_record_bytes (LimpetExchange *exchange,
                                LimpetTarget *target,
                                bool is_new_connection);
void limpet_paths_record_failure (LimpetExchange *exchange, const LimpetTarget *target);
/* Records the end of a probe started by limpet_paths_check(). */
void limpet_paths_record_probe (LimpetExchange *exchange,
                                const LimpetTarget *target,
                                bool succeeded);
/* Records that a call on trial got no response, or ended for another reason. */
void limpet_paths_fail_trial (LimpetExchange *exchange, const LimpetTarget *target);
void limpet_paths_cancel_trial (LimpetExchange *exchange, const LimpetTarget *target);

/* Returns whether the own links to the group of the target are cut. */
bool limpet_paths_are_isolated (LimpetExchange *exchange, const LimpetTarget *target);
/* Returns the address (network byte order) of the router through which a new connection
 * has to go; 0 for the own links, also if no other router relays. */
uint32_t limpet_paths_choose_relay (LimpetExchange *exchange, const LimpetTarget *target);
/* Returns whether the call of the task is to use the own links on trial. */
bool limpet_paths_begin_trial (const LimpetTask *task, const LimpetTarget *target);
/* Returns whether pooled connections to the target may be used. */
bool limpet_paths_may_use_pool (LimpetExchange *exchange, const LimpetTarget *target);
/* Returns whether this router relays connections for others, to some targets. */
bool limpet_paths_relay_for_others (LimpetExchange *exchange);

/* Detects silence, ends trials and starts probes. Call it every 100 ms. */
void limpet_paths_check (LimpetExchange *exchange, LimpetMs now_ms);
void limpet_paths_render_metrics (LimpetExchange *exchange, GString *out);

/* Binds a new socket to this router's own address: routers relay only for the addresses
 * of routers, and targets see the same address on each connection. */
int limpet_paths_bind (LimpetExchange *exchange, uv_tcp_t *tcp);
/* Set the options of connections to targets, and of those between routers. */
void limpet_paths_set_target_options (uv_tcp_t *tcp);
void limpet_paths_set_router_options (uv_tcp_t *tcp);

#endif
