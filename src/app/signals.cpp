#include "app/signals.h"

#include <cerrno>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace myrtlehead::app {

namespace {
constexpr Nanoseconds kReadRetryInterval = 10 * kMillisecond; // after a system call that has failed
}

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
    const int error = bytesRead < 0 ? errno : 0;
    if (error == EAGAIN)
      co_await signals.waitReadable({});
    else if (bytesRead != sizeof info)
      co_await sched.sleep(kReadRetryInterval); // no event tells when the signal can be read
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
