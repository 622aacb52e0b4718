// An HTTP call over a connection of its own: asked once, never repeated; the answer's body as it comes.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

namespace myrtlehead::http_client {

class Exchange {
public:
  Exchange(net::Scheduler &sched, net::DescriptorBudget &budget) : sched_(sched), budget_(budget) {}

  // Until the answer's head is there. Where it fails, `reach` says how far the call had come.
  net::Task<net::Failure> ask(net::Address to, std::string request, net::Deadline until);
  // More of the body, at least a byte or its end (Cause::ended).
  net::Task<net::ErrorCode> more(net::Deadline until);

  const http::Head &head() const { return head_; }
  std::string body; // what has come and was not yet taken

private:
  net::ErrorCode takeBody();
  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::unique_ptr<net::Socket> socket_;
  net::Buffer buffer_;
  http::Head head_;
  http::Body rest_;
  bool whole_ = false;
};

} // namespace myrtlehead::http_client
