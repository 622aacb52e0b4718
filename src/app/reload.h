// Reloads a running instance's configuration and settings: applies what can change without a restart and logs
// what can't.
#pragma once

#include "app/bootstrap/bootstrap_config.h"
#include "app/serve.h"
#include "app/settings/settings.h"
#include "control/discovery/endpoint_watch.h"
#include "control/dns/dns_discovery.h"
#include "control/rollout/rollout_client.h"

namespace myrtlehead::app {

// A pending request to reload. One that comes while an earlier one is applied is kept, not lost.
struct ReloadRequest {
  bool isPending = false;
  sched::Event requested;

  void request() {
    isPending = true;
    requested.notify();
  }
};

// What a reload reads and changes: the addresses of discovery, the platform and the DNS servers, and the log
// levels. All of it must outlive the reloads.
struct ReloadableParts {
  const ServeOptions &options;
  const bootstrap::BootstrapConfig &startedWith;
  const settings::Settings &startedSettings;
  discovery::EndpointWatch &endpointWatch;
  rollout::RolloutClient &rolloutClient;
  dns_discovery::DnsDiscovery *dnsDiscovery; // nullptr: no names are followed
  log::LogOutput &logs;
};

// Applies each request for a reload, for as long as the instance lives. A file that can't be decoded changes
// nothing and is logged.
sched::Task<> applyReloads(sched::Scheduler &sched, const ReloadableParts &parts, ReloadRequest &request,
                           log::Log &log);

} // namespace myrtlehead::app
