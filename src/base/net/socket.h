// Non-blocking sockets on loopback or a private network: connect, accept, read and write as awaited calls.
#pragma once

#include "base/net/buffer.h"
#include "base/net/descriptor_budget.h"
#include "base/net/result.h"
#include "base/sched/scheduler.h"

#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace myrtlehead::net {

using sched::Deadline;
using sched::Nanoseconds;
using sched::Scheduler;
using sched::Task;

// An IPv4 or IPv6 address with its port.
struct Address {
  sockaddr_in6 at{}; // a sockaddr_in stands in its place where the family says so
  Address() { at.sin6_family = AF_INET; }
  const sockaddr *raw() const { return reinterpret_cast<const sockaddr *>(&at); }
  sockaddr *raw() { return reinterpret_cast<sockaddr *>(&at); }
  socklen_t size() const { return v6() ? sizeof(sockaddr_in6) : sizeof(sockaddr_in); }
  bool v6() const { return at.sin6_family == AF_INET6; }
  std::uint16_t port() const { return ntohs(at.sin6_port); } // it stands at the same place in both
  bool operator==(const Address &o) const;
};
std::optional<Address> parseAddress(std::string_view text); // "10.1.0.18:6432", "[fd00::12]:6432"
std::string text(const Address &address);

// One descriptor, known to the scheduler and the budget for as long as it lives.
class Socket final : private sched::DescriptorObserver {
public:
  Socket(Scheduler &sched, DescriptorBudget &budget, int fd);
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  // At least one byte more in `into`.
  Task<ErrorCode> read(Buffer &into, Deadline until);
  Task<ErrorCode> write(std::string_view bytes, Deadline until); // all of them
  Task<ErrorCode> readable(Deadline until);
  ErrorCode readNow(Buffer &into);       // timedOut: nothing there
  bool writeNow(std::string_view bytes); // all of them, without waiting
  bool quiet() const;                    // open, with nothing to read
  void onHangUp(sched::CancellationToken *stop);
  void endWriting();
  void shutDown(); // whoever reads or writes here sees its end
  int fd() const { return fd_; }
  std::size_t written() const { return written_; } // bytes in all

private:
  friend Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &, DescriptorBudget &, Address, Deadline);
  void onEvents(std::uint32_t events) override;
  Scheduler &sched_;
  DescriptorBudget &budget_;
  int fd_;
  sched::Event readable_, writable_;
  sched::CancellationToken *onHangUp_ = nullptr;
  bool hungUp_ = false, stream_ = false;
  bool mayRead_ = true; // something has come since the last read that took all
  std::size_t written_ = 0;
};

Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline until);

// Throws std::system_error where the address can't be had: the program then can't serve.
std::unique_ptr<Socket> listenAt(Scheduler &sched, DescriptorBudget &budget, Address at);
std::unique_ptr<Socket> datagramsAt(Scheduler &sched, DescriptorBudget &budget, Address at);
// A datagram socket that hears `to` alone, at a port that the system draws. nullptr: no descriptor, or no way
// there.
std::unique_ptr<Socket> datagramsTo(Scheduler &sched, DescriptorBudget &budget, Address to);
Address localAddress(const Socket &socket);

// A connection, or a descriptor shortage of the machine's (none there: timedOut).
Result<std::unique_ptr<Socket>> acceptNow(Scheduler &sched, DescriptorBudget &budget, Socket &listener);

} // namespace myrtlehead::net
