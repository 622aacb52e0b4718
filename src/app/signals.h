// The signals that a running instance heeds: SIGHUP asks for a reload, SIGTERM and SIGINT for a graceful
// shutdown.
#pragma once

#include "app/reload.h"
#include "base/net/socket.h"
#include "cluster/cluster_member.h"
#include "downstream/listener.h"

namespace myrtlehead::app {

// Blocks SIGTERM, SIGINT and SIGHUP, ignores SIGPIPE, and returns a descriptor that reads the blocked ones.
// Call it before any thread starts: threads inherit the mask. The caller owns the descriptor.
int openSignalDescriptor();

// Passes each SIGHUP on to `reload`. At SIGTERM or SIGINT closes the cluster member (none: nullptr) and then
// the listener, each to its end, and halts the scheduler.
sched::Task<> handleSignals(sched::Scheduler &sched, net::Socket &signals, downstream::Listener &listener,
                            cluster::ClusterMember *clusterMember, ReloadRequest &reload, log::Log &log);

} // namespace myrtlehead::app
