#include "app/signals.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace myrtlehead::app {

// Guards against a signal that comes before its reader: once blocked, it waits for one.
int openSignalDescriptor() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

sched::Task<> handleSignals(sched::Scheduler &sched, net::Socket &signals, downstream::Listener &listener,
                            cluster::ClusterMember *clusterMember, ReloadRequest &reload, log::Log &log) {
  for (;;) {
    signalfd_siginfo info{};
    const auto bytesRead = read(signals.fd(), &info, sizeof info);
    if (bytesRead != sizeof info)
      co_await signals.waitReadable({});
    else if (info.ssi_signo == SIGHUP)
      reload.request();
    else
      break;
  }
  log.info("shutdown requested; finishing open requests");
  // First the cluster member: attempts of its jobs may need descriptors that closing the listener takes.
  if (clusterMember != nullptr) co_await clusterMember->shutdown();
  co_await listener.shutDown();
  log.info("shutdown complete");
  sched.halt();
}

} // namespace myrtlehead::app
