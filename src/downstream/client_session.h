// One client connection, from its startup message to its end. One coroutine reads its messages; each request
// is served by a coroutine of its own, so that a slow one holds up none behind it. Answers are written in the
// order of the commands.
#pragma once

#include "downstream/listener.h"
#include "downstream/reply_queue.h"
#include "format/pg/message.h"
#include "format/pg/statement.h"

#include <optional>

namespace myrtlehead::downstream {

class ClientSession {
public:
  ClientSession(Listener &door, std::unique_ptr<net::Socket> socket, std::uint32_t number);
  ~ClientSession();
  ClientSession(const ClientSession &) = delete;
  ClientSession &operator=(const ClientSession &) = delete;

  net::Task<> run(bool stays); // if not, it is refused: there is no descriptor to spare
  void stopIdling();           // it may be closed now, being between requests
  void end();                  // likewise, as the instance ends: what has come is still answered
  Nanoseconds since() const { return since_; }
  bool hasAsked() const { return asked_; }

private:
  enum Standing { parted, early, idle, busy };
  // A request in hand.
  struct Request {
    std::string text;
    pg::Statement statement; // stands in `text`
    int route = 0;
    Nanoseconds arrived = 0;
    net::MemoryReservation place; // of its large message
    pipelining_limits::AdmissionTicket ticket;
    sched::Event admitted;
    PendingReply *reply = nullptr;
    bool over = false; // its coroutine has nothing left to do
    std::optional<net::Task<>> task;
  };
  using Requests = std::list<Request>;

  // Reading (session.cpp).
  void stand(Standing is);
  std::list<ClientSession *> &list(Standing of);
  net::Task<bool> startUp(Nanoseconds within);
  net::Task<> partWith();
  net::Task<> endBetween();
  net::Task<net::ErrorCode> lastRead(Nanoseconds begun);
  net::Task<bool> nextMessage(pg::Message &out);
  net::Task<bool> turnToTakeUp();
  net::Task<> rest();
  net::Task<bool> takePlace(Nanoseconds latest);
  net::Task<bool> answer(pg::Message message);
  bool isOwnOpenId(std::string_view id) const;
  net::Task<bool> ownIdFree(const pg::Statement &statement);
  void query(const pg::Statement &statement);
  void complain(std::string_view code, std::string_view message, bool ready = true);
  net::Task<> breakOff(std::string_view message); // an error that ends the connection

  // Requests in hand and their answers (requests.cpp).
  void begin(const pg::Statement &parsed, int route);
  net::Task<> serve(Requests::iterator self);
  net::Task<bool> admission(Request &request);
  Nanoseconds patience(const Request &request) const; // how long its client waits for the answer
  net::Task<> attempt(Request &request);
  void refuse(Request &request, std::string_view message, Nanoseconds retryAfter = 0);
  void finish(Requests::iterator self);
  void forgetFinished();
  pipelining_limits::ConnectionUsage held() const;
  net::Task<bool> flush(); // false: the client has gone, or reads nothing
  net::Task<bool> drain(); // returns once all in hand is answered; false: as flush()
  void settle();
  void abandon(); // ends the connection without a further word

  Listener &listener_;
  std::unique_ptr<net::Socket> socket_;
  std::uint32_t number_;
  net::Buffer buffer_;
  sched::CancellationToken gone_;   // the client has closed its end
  sched::CancellationToken enough_; // the instance wants the connection back, and nothing is in hand
  bool wanted_ = false;             // the instance wants the connection back
  bool skipping_ = false;           // an extended-protocol error: all is skipped up to Sync
  std::list<ClientSession *>::iterator inAll_, inList_;
  Standing standing_ = busy;
  Nanoseconds opened_, since_; // when it was opened, and when it came to stand as it does
  Nanoseconds lastReadAt_ = 0; // when the latest bytes were read
  bool asked_ = false, parting_ = false;
  bool between_ = false; // nothing of a further message has come
  bool looked_ = false;  // for the last time, at what has come
  unsigned faults_ = 0;
  net::MemoryReservation place_; // of its large message
  ReplyQueue replies_;
  const Batch *beingWritten_ = nullptr;
  bool writing_ = false;         // some coroutine writes what may be written
  sched::Event changed_;         // something has been answered or written
  Requests requests_, finished_; // destroyed first: their coroutines use the rest
};

} // namespace myrtlehead::downstream
