#include "app/signals.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace myrtlehead::app {

// A signal that arrives before handleSignals() runs stays pending, because it is blocked, and is read later.
int openSignalDescriptor() {
  sigset_t handledSignals;
  sigemptyset(&handledSignals);
  sigaddset(&handledSignals, SIGTERM);
  sigaddset(&handledSignals, SIGINT);
  sigaddset(&handledSignals, SIGHUP);
  sigprocmask(SIG_BLOCK, &handledSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &handledSignals, SFD_NONBLOCK | SFD_CLOEXEC);
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
  // The cluster member shuts down first: attempts of its jobs may need file descriptors, and shutting down
  // the listener takes them.
  if (clusterMember != nullptr) co_await clusterMember->shutdown();
  co_await listener.shutDown();
  log.info("shutdown complete");
  sched.halt();
}

} // namespace myrtlehead::app
