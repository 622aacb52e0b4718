// An HTTP exchange on a dedicated connection. The request is sent once and never retried. The response body
// is available as it arrives, which suits event streams and watches.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"

namespace myrtlehead::http_client {

class Exchange {
public:
  Exchange(net::Scheduler &sched, net::DescriptorBudget &budget) : sched_(sched), budget_(budget) {}

  // Connects, sends `request` and waits for the head of the response. On success the cause is
  // ErrorCode::none; otherwise the progress tells how much of the exchange had taken place.
  net::Task<net::Failure> sendRequest(net::Address to, std::string request, net::Deadline until);
  // Waits until at least one byte has been appended to `body`. Returns ErrorCode::closedByPeer if the body is
  // complete.
  net::Task<net::ErrorCode> readMore(net::Deadline until);
  // Appends to `body` what has arrived, without waiting. Has no effect before sendRequest() has succeeded.
  void readAvailable();

  const http::Head &head() const { return head_; }

  // The part of the body that has arrived and is not yet consumed. The caller removes the bytes it consumes.
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
