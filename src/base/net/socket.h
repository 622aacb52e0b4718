// Non-blocking sockets on loopback or a private network: connect, accept, read and write as awaited calls.
#pragma once

#include "base/net/buffer.h"
#include "base/net/descriptors.h"
#include "base/net/result.h"
#include "base/sched/scheduler.h"

#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace myrtlehead::net {

using sched::Ns;
using sched::Scheduler;
using sched::Task;
using sched::Until;

struct Address {
  sockaddr_in at{};
  bool operator==(const Address &o) const {
    return at.sin_addr.s_addr == o.at.sin_addr.s_addr && at.sin_port == o.at.sin_port;
  }
};
std::optional<Address> parseAddress(std::string_view text); // "10.1.0.18:6432"
std::string text(const Address &address);

// One descriptor, known to the scheduler and the budget for as long as it lives.
class Socket final : private sched::Watched {
public:
  Socket(Scheduler &sched, Descriptors &budget, int fd);
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  // At least one byte more in `into`.
  Task<Cause> read(Buffer &into, Until until);
  Task<Cause> write(std::string_view bytes, Until until); // all of them
  Task<Cause> readable(Until until);
  Cause readNow(Buffer &into);           // timedOut: nothing there
  bool writeNow(std::string_view bytes); // all of them, without waiting
  bool quiet() const;                    // open, with nothing to read
  void onHangUp(sched::Stop *stop);
  void endWriting();
  void shutDown(); // whoever reads or writes here sees its end
  int fd() const { return fd_; }
  std::size_t written() const { return written_; } // bytes in all

private:
  friend Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &, Descriptors &, Address, Until);
  void happened(std::uint32_t events) override;
  Scheduler &sched_;
  Descriptors &budget_;
  int fd_;
  sched::Signal readable_, writable_;
  sched::Stop *onHangUp_ = nullptr;
  bool hungUp_ = false;
  std::size_t written_ = 0;
};

Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, Descriptors &budget, Address to, Until until);

// Throws std::system_error where the address can't be had: the program then can't serve.
std::unique_ptr<Socket> listenAt(Scheduler &sched, Descriptors &budget, Address at);
std::unique_ptr<Socket> datagramsAt(Scheduler &sched, Descriptors &budget, Address at);
Address localAddress(const Socket &socket);

// A connection, or a descriptor shortage of the machine's (none there: timedOut).
Result<std::unique_ptr<Socket>> acceptNow(Scheduler &sched, Descriptors &budget, Socket &listener);

} // namespace myrtlehead::net
