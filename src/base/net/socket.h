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
  sockaddr_in6 storage{}; // of a sockaddr_in, where the family is AF_INET
  Address() { storage.sin6_family = AF_INET; }
  const sockaddr *asSockaddr() const { return reinterpret_cast<const sockaddr *>(&storage); }
  sockaddr *asSockaddr() { return reinterpret_cast<sockaddr *>(&storage); }
  socklen_t size() const { return isV6() ? sizeof(sockaddr_in6) : sizeof(sockaddr_in); }
  bool isV6() const { return storage.sin6_family == AF_INET6; }
  std::uint16_t port() const { return ntohs(storage.sin6_port); } // at the same offset in both families
  bool operator==(const Address &other) const;
};
// "10.1.0.18:6432" or "[fd00::12]:6432"; nullopt where it is neither.
std::optional<Address> parseAddress(std::string_view text);
std::string formatAddress(const Address &address);

// One non-blocking descriptor, registered with the scheduler and counted by the budget for as long as it
// exists.
class Socket final : private sched::DescriptorObserver {
public:
  // Takes over `fd`, and closes it.
  Socket(Scheduler &sched, DescriptorBudget &budget, int fd);
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  // Appends at least one byte to `into`.
  Task<ErrorCode> read(Buffer &into, Deadline deadline);
  // Writes all bytes; they must stay valid until it returns.
  Task<ErrorCode> write(std::string_view bytes, Deadline deadline);
  Task<ErrorCode> waitReadable(Deadline deadline);
  // One read without waiting; timedOut: there is nothing to read.
  ErrorCode tryRead(Buffer &into);
  // Whether all bytes could be written without waiting.
  bool tryWrite(std::string_view bytes);
  // Whether the other side has it open, and there is nothing to read.
  bool isOpenAndIdle() const;
  // Cancels `token` once the other side has closed its end; nullptr: no longer.
  void cancelOnHangUp(sched::CancellationToken *token);
  // The other side reads the end of the stream behind what has been written.
  void shutdownWrite();
  // Whoever reads or writes here sees the end of the stream.
  void shutdown();
  int fd() const { return fd_; }
  std::size_t bytesWritten() const { return bytesWritten_; } // in all

private:
  friend Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &, DescriptorBudget &, Address, Deadline);
  void onEvents(std::uint32_t events) override;
  Scheduler &sched_;
  DescriptorBudget &budget_;
  int fd_;
  sched::Event readable_;
  sched::Event writable_;
  sched::CancellationToken *hangUpToken_ = nullptr;
  bool isHungUp_ = false;
  bool isStream_ = false;
  bool isReadReady_ = true; // something may have arrived since the last read that took all
  std::size_t bytesWritten_ = 0;
};

// A TCP connection to `to`.
Task<Result<std::unique_ptr<Socket>>> connect(Scheduler &sched, DescriptorBudget &budget, Address to,
                                              Deadline deadline);

// Throw std::system_error where the address can't be bound: the program then can't serve.
std::unique_ptr<Socket> listenTcp(Scheduler &sched, DescriptorBudget &budget, Address address);
std::unique_ptr<Socket> bindUdp(Scheduler &sched, DescriptorBudget &budget, Address address);
// A datagram socket that receives from `to` alone, at a port that the system draws. nullptr: no descriptor is
// left, or there is no route.
std::unique_ptr<Socket> connectUdp(Scheduler &sched, DescriptorBudget &budget, Address to);
// The address to which a socket is bound.
Address localAddress(const Socket &socket);

// A connection that waits in the backlog, without waiting for one. timedOut: there is none;
// noDescriptorLeft: the system is short of descriptors; connectionLost: it has ended already.
Result<std::unique_ptr<Socket>> tryAccept(Scheduler &sched, DescriptorBudget &budget, Socket &listener);

} // namespace myrtlehead::net
