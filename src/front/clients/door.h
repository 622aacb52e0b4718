// The clients' side: accepts connections, answers their queries, and ends well.
#pragma once

#include "base/net/places.h"
#include "base/net/socket.h"
#include "decide/closing/closing.h"
#include "decide/pipeline/pipeline.h"
#include "marshal/marshal.h"
#include "nodes/pool.h"

#include <set>

namespace myrtlehead::clients {

class Door {
public:
  Door(net::Scheduler &sched, net::Descriptors &budget, Marshal &marshal, nodes::Pool &pool, log::Log &log,
       net::Address listen, std::vector<std::string> routes, std::vector<Ns> routeTimeouts,
       std::size_t places);

  net::Task<> accept();
  net::Task<> sweep(); // closes what has stood idle too long, for as long as the marshal lives
  // New connections and reqs are still taken for a while, and what stands in the backlog then; after that
  // idle connections go, the others as they are answered. Returns when none is left.
  net::Task<> close();
  net::Address address() const { return net::localAddress(*listener_); }

private:
  friend class Session;
  bool mayStay();  // whether a connection just accepted may
  bool makeRoom(); // false: no connection can be spared
  void fault(std::string_view what);
  void take(std::unique_ptr<net::Socket> accepted);
  net::Task<> emptyBacklog();
  void endAll();
  net::Scheduler &sched_;
  net::Descriptors &budget_;
  Marshal &marshal_;
  nodes::Pool &pool_;
  log::Log &log_;
  std::vector<std::string> routes_;
  std::vector<Ns> routeTimeouts_;
  net::Places places_; // for large messages
  std::unique_ptr<net::Socket> listener_;
  sched::Stop noMore_; // ends accept()
  closing::Closing closing_;
  bool short_ = false; // of descriptors
  std::uint32_t sessions_ = 0;
  std::list<class Session *> all_;
  // Those that may be closed, the longest first: parted with, not yet started, waiting for a req.
  std::list<class Session *> parted_, early_, idle_;
  std::set<std::string, std::less<>> openIds_; // of the requests in hand
  pipeline::Admission admission_;
  unsigned faults_ = 0; // of clients, since one was last logged
  Ns faultSaid_ = 0;
  sched::Signal ended_;
};

} // namespace myrtlehead::clients
