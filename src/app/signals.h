// The signals that a running instance handles: SIGHUP requests a reload, SIGTERM and SIGINT request a
// graceful shutdown.
#pragma once

#include "app/reload.h"
#include "base/net/socket.h"
#include "cluster/cluster_member.h"
#include "downstream/listener.h"

namespace myrtlehead::app {

// Blocks SIGTERM, SIGINT and SIGHUP, ignores SIGPIPE, and returns a file descriptor from which the blocked
// signals are read. Must be called before any thread starts, because threads inherit the signal mask. The
// caller owns the descriptor.
int openSignalDescriptor();

// Requests a reload on each SIGHUP. On SIGTERM or SIGINT it shuts down `clusterMember` (nullptr if the
// instance is in no cluster), then the listener, waits for each to finish, and halts the scheduler.
sched::Task<> handleSignals(sched::Scheduler &sched, net::Socket &signals, downstream::Listener &listener,
                            cluster::ClusterMember *clusterMember, ReloadRequest &reload, log::Log &log);

} // namespace myrtlehead::app
