// One running instance of the gateway. It owns all components and the tasks that run them.
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

// DNS discovery and the objects that it uses. They exist only if the settings list SRV names.
struct DnsComponents {
  DnsComponents(sched::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                const bootstrap::BootstrapConfig &config, const settings::Settings &settings, log::Log log);
  prometheus::Registry registry;
  dns_discovery::DnsMetrics metrics;
  endpoint_merge::EndpointMerge merge;
  dns_discovery::DnsDiscovery discovery;
};

class Instance {
public:
  // Binds all sockets and restores stored state, but does not serve yet. The references must outlive the
  // instance, which takes ownership of `signalDescriptor`. Throws ConfigError or std::system_error if a
  // component cannot be created.
  Instance(const ServeOptions &options, const bootstrap::BootstrapConfig &config,
           const settings::Settings &settings, int signalDescriptor);

  // Serves until SIGTERM or SIGINT, then shuts down gracefully and returns.
  void run();

private:
  void applyInitialState();
  std::unique_ptr<cluster::ClusterMember> makeClusterMember();
  void spawnTasks();

  const ServeOptions &options_;
  const bootstrap::BootstrapConfig &config_;
  const settings::Settings &settings_;

  // The order of construction: each component refers only to components above it.
  log::Logs logs_;
  log::Log log_;
  log::Log routerLog_;
  log::Log discoveryLog_;
  log::Log rolloutLog_;
  log::Log upstreamLog_;
  log::Log downstreamLog_;
  sched::Scheduler sched_;
  net::DescriptorBudget budget_;
  Router router_;
  discovery::EndpointWatch endpointWatch_;
  rollout::RolloutClient rolloutClient_;
  upstream::ConnectionPool connectionPool_;
  std::unique_ptr<DnsComponents> dns_;                  // null if the settings list no SRV names
  prometheus::Registry emptyRegistry_;                  // served as the metrics if there is no DNS discovery
  std::unique_ptr<admin::MetricsServer> metricsServer_; // null if the settings have no metrics address
  net::Socket signals_;
  std::unique_ptr<peers::PeerTransport> peerTransport_;   // null if the deployment has no peers
  std::unique_ptr<cluster::ClusterMember> clusterMember_; // null if the settings have no [fleet] table
  std::optional<downstream::Listener> listener_;          // created last, in the constructor's body
  ReloadRequest reloadRequest_;
  std::optional<ReloadableComponents> reloadableComponents_;
};

} // namespace myrtlehead::app
