// One running instance of the gateway: owns all its parts and the tasks that drive them.
#pragma once

#include "admin/metrics_server.h"
#include "app/bootstrap/bootstrap_config.h"
#include "app/reload.h"
#include "app/serve.h"
#include "app/settings/settings.h"
#include "cluster/cluster_member.h"
#include "control/discovery/endpoint_watch.h"
#include "control/dns/dns_discovery.h"
#include "control/peers/peer_transport.h"
#include "control/rollout/rollout_client.h"
#include "downstream/listener.h"

#include <memory>
#include <optional>
#include <prometheus/registry.h>

namespace myrtlehead::app {

// DNS discovery and what it needs; made only where the settings name any set.
struct DnsParts {
  DnsParts(sched::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
           const bootstrap::BootstrapConfig &config, const settings::Settings &settings, log::Log log);
  prometheus::Registry registry;
  dns_discovery::DnsMetrics metrics;
  endpoint_merge::EndpointMerge merge;
  dns_discovery::DnsDiscovery discovery;
};

class Instance {
public:
  // Binds every socket and restores every state; serves nothing yet. The arguments must outlive the instance;
  // it takes over `signalDescriptor`. Throws ConfigError or std::system_error where a part can't be made.
  Instance(const ServeOptions &options, const bootstrap::BootstrapConfig &config,
           const settings::Settings &settings, int signalDescriptor);

  // Serves until SIGTERM or SIGINT and a graceful shutdown after it.
  void run();

private:
  void applyKnownState();
  std::unique_ptr<cluster::ClusterMember> makeClusterMember();
  void spawnTasks();

  const ServeOptions &options_;
  const bootstrap::BootstrapConfig &config_;
  const settings::Settings &settings_;

  // In the order of construction: each part refers only to those above it.
  log::LogOutput logs_;
  log::Log log_;
  log::Log guardLog_;
  log::Log catalogLog_;
  log::Log platformLog_;
  log::Log nodesLog_;
  log::Log clientsLog_;
  sched::Scheduler sched_;
  net::DescriptorBudget budget_;
  Router router_;
  discovery::EndpointWatch endpointWatch_;
  rollout::RolloutClient rolloutClient_;
  upstream::ConnectionPool connectionPool_;
  std::unique_ptr<DnsParts> dns_;                       // none: the settings name no set
  prometheus::Registry emptyRegistry_;                  // served where there is no DNS discovery
  std::unique_ptr<admin::MetricsServer> metricsServer_; // none: the settings name no address
  net::Socket signals_;
  std::unique_ptr<peers::PeerTransport> peerTransport_;   // none: the deployment has no peers
  std::unique_ptr<cluster::ClusterMember> clusterMember_; // none: the settings name no cluster
  std::optional<downstream::Listener> listener_;          // made last, in the constructor's body
  ReloadRequest reloadRequest_;
  std::optional<ReloadableParts> reloadableParts_;
};

} // namespace myrtlehead::app
