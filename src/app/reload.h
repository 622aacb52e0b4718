// Reloads the configuration and settings of a running instance. Fields that can change without a restart are
// applied; changes of other fields are logged.
#pragma once

#include "app/bootstrap/bootstrap_config.h"
#include "app/serve.h"
#include "app/settings/settings.h"
#include "control/discovery/endpoint_watch.h"
#include "control/dns/dns_discovery.h"
#include "control/rollout/rollout_client.h"

namespace myrtlehead::app {

// Whether a reload is requested. A request made while an earlier one is being applied is kept.
struct ReloadRequest {
  bool isPending = false;
  sched::Event requested;

  void request() {
    isPending = true;
    requested.notify();
  }
};

// The objects that a reload reads and changes. It changes the addresses of discovery, the platform and the
// DNS servers, and the log levels. All objects must outlive the task of applyReloads().
struct ReloadableComponents {
  const ServeOptions &options;
  const bootstrap::BootstrapConfig &startedConfig;
  const settings::Settings &startedSettings;
  discovery::EndpointWatch &endpointWatch;
  rollout::RolloutClient &rolloutClient;
  dns_discovery::DnsDiscovery *dnsDiscovery; // nullptr if there is no DNS discovery
  log::Logs &logs;
};

// Applies reload requests until the task is destroyed. A configuration that cannot be decoded changes
// nothing; settings that have errors change no setting. The error is logged.
sched::Task<> applyReloads(sched::Scheduler &sched, const ReloadableComponents &components,
                           ReloadRequest &request, log::Log &log);

} // namespace myrtlehead::app
