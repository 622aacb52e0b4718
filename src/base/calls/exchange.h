// An HTTP call over a connection of its own: asked once, never repeated; the answer's body as it comes.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

namespace myrtlehead::calls {

class Exchange {
public:
  Exchange(net::Scheduler &sched, net::Descriptors &budget) : sched_(sched), budget_(budget) {}

  // Until the answer's head is there. Where it fails, `reach` says how far the call had come.
  net::Task<net::Failure> ask(net::Address to, std::string request, net::Until until);
  // More of the body, at least a byte or its end (Cause::ended).
  net::Task<net::Cause> more(net::Until until);

  const http::Head &head() const { return head_; }
  std::string body; // what has come and was not yet taken

private:
  net::Cause takeBody();
  net::Scheduler &sched_;
  net::Descriptors &budget_;
  std::unique_ptr<net::Socket> socket_;
  net::Buffer buffer_;
  http::Head head_;
  http::Body rest_;
  bool whole_ = false;
};

} // namespace myrtlehead::calls
