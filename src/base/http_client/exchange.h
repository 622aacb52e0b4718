// One HTTP request on a connection of its own. The request is sent once and never retried; the response body
// is handed out as it arrives, so that it suits event streams and watches.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

namespace myrtlehead::http_client {

class Exchange {
public:
  Exchange(net::Scheduler &sched, net::DescriptorBudget &budget) : sched_(sched), budget_(budget) {}

  // Connects, sends `request` and returns once the head of the response has arrived. On success the cause is
  // ErrorCode::none; otherwise the progress says how far the exchange had come.
  net::Task<net::Failure> sendRequest(net::Address to, std::string request, net::Deadline until);
  // Appends at least one byte to `body`. ErrorCode::closedByPeer: the body is complete.
  net::Task<net::ErrorCode> readMore(net::Deadline until);

  const http::Head &head() const { return head_; }

  // The part of the body that has arrived and was not yet consumed. The caller removes what it consumes.
  std::string body;

private:
  net::Task<net::Failure> readHead(net::Deadline until);
  net::ErrorCode decodeBody();

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::unique_ptr<net::Socket> socket_;
  net::Buffer buffer_;
  http::Head head_;
  http::BodyDecoder bodyDecoder_;
  bool isComplete_ = false;
};

} // namespace myrtlehead::http_client
