// One client connection, from its startup message to its end. One coroutine reads its messages; each request
// is served by a coroutine of its own, so that a slow one holds up none behind it. Answers are written in the
// order of the commands.
#pragma once

#include "format/pg/message.h"
#include "format/pg/statement.h"
#include "front/clients/door.h"
#include "front/clients/replies.h"

#include <optional>

namespace myrtlehead::clients {

class Session {
public:
  Session(Door &door, std::unique_ptr<net::Socket> socket, std::uint32_t number);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  net::Task<> run(bool stays); // if not, it is refused: there is no descriptor to spare
  void stopIdling();           // it may be closed now, being between requests
  void end();                  // likewise, as the marshal ends: what has come is still answered
  Ns since() const { return since_; }
  bool hasAsked() const { return asked_; }

private:
  enum Standing { parted, early, idle, busy };
  // A request in hand.
  struct Request {
    std::string text;
    pg::Statement statement; // stands in `text`
    int route = 0;
    Ns arrived = 0;
    net::Place place; // of its large message
    pipeline::Ticket ticket;
    sched::Signal admitted;
    Reply *reply = nullptr;
    bool over = false; // its coroutine has nothing left to do
    std::optional<net::Task<>> task;
  };
  using Requests = std::list<Request>;

  // Reading (session.cpp).
  void stand(Standing is);
  std::list<Session *> &list(Standing of);
  net::Task<bool> startUp(Ns within);
  net::Task<> partWith();
  net::Task<> endBetween();
  net::Task<net::Cause> lastRead(Ns begun);
  net::Task<bool> nextMessage(pg::Message &out);
  net::Task<bool> turnToTakeUp();
  net::Task<> rest();
  net::Task<bool> takePlace(Ns latest);
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
  Ns patience(const Request &request) const; // how long its client waits for the answer
  net::Task<> attempt(Request &request);
  void refuse(Request &request, std::string_view message, Ns retryAfter = 0);
  void finish(Requests::iterator self);
  void forgetFinished();
  pipeline::Held held() const;
  net::Task<bool> flush(); // false: the client has gone, or reads nothing
  net::Task<bool> drain(); // returns once all in hand is answered; false: as flush()
  void settle();
  void abandon(); // ends the connection without a further word

  Door &door_;
  std::unique_ptr<net::Socket> socket_;
  std::uint32_t number_;
  net::Buffer buffer_;
  sched::Stop gone_;      // the client has closed its end
  sched::Stop enough_;    // the marshal wants the connection back, and nothing is in hand
  bool wanted_ = false;   // the marshal wants the connection back
  bool skipping_ = false; // an extended-protocol error: all is skipped up to Sync
  std::list<Session *>::iterator inAll_, inList_;
  Standing standing_ = busy;
  Ns opened_, since_; // when it was opened, and when it came to stand as it does
  Ns lastReadAt_ = 0; // when the latest bytes were read
  bool asked_ = false, parting_ = false;
  bool between_ = false; // nothing of a further message has come
  bool looked_ = false;  // for the last time, at what has come
  unsigned faults_ = 0;
  net::Place place_; // of its large message
  ReplyQueue replies_;
  const Batch *beingWritten_ = nullptr;
  bool writing_ = false;         // some coroutine writes what may be written
  sched::Signal changed_;        // something has been answered or written
  Requests requests_, finished_; // destroyed first: their coroutines use the rest
};

} // namespace myrtlehead::clients
