// Gossip between the instances of the proxy on endpoints that fail. In a large fleet one instance meets an
// endpoint once in several seconds; without gossip each of them would have to find out by itself. No I/O:
// time and the source of randomness are arguments.
//
// A message is sent only while there are failures to report, and only to a few peers drawn at random, so its
// cost does not grow with the square of the fleet.
#pragma once

#include "policy/due_actions.h"
#include "policy/random.h"
#include "policy/request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace myrtlehead {

// Identifies an endpoint to every instance alike: 16 bits of a hash of its name; 0 is none.
using EndpointFingerprint = std::uint16_t;

// The outcomes of one instance's attempts at an endpoint since its message before. Counts stop at 255.
struct EndpointObservations {
  EndpointFingerprint fingerprint = 0;
  std::uint8_t failed = 0;          // the endpoint answered with an error
  std::uint8_t lostConnections = 0; // no connection came about, or it broke, or nothing came in time
  std::uint8_t succeeded = 0;
};

struct GossipMessage {
  std::uint16_t senderZone = 0;
  std::vector<EndpointObservations> observations;
};

// The bytes of a message: version, the sender's zone, then 5 bytes an endpoint, big-endian.
constexpr std::uint8_t kGossipVersion = 5;
constexpr std::size_t kMaxObservationsPerMessage = 50; // 253 bytes; a datagram has 256 at most
std::vector<std::uint8_t> encodeGossip(const GossipMessage &message);
// nullopt: not a gossip message, or not a whole one.
std::optional<GossipMessage> decodeGossip(const std::uint8_t *bytes, std::size_t size);

class OutlierGossip {
public:
  OutlierGossip(int ownIndex, int instanceCount, int zone)
      : ownIndex_(ownIndex), instanceCount_(instanceCount), zone_(zone) {}

  // An attempt of this instance has ended.
  void onOutcome(EndpointFingerprint fingerprint, Outcome outcome);
  // A message of the peer with the number `from`. Messages of unknown senders are ignored.
  void onGossip(int from, const GossipMessage &message, Nanoseconds now, RandomEngine &random);
  // Another process runs under the endpoint's name; what is known of the former one is dropped.
  void onEndpointReplaced(EndpointFingerprint fingerprint);

  // The messages to send now. They take the observations made since the ones before.
  std::vector<PeerMessage> takeDueMessages(Nanoseconds now, RandomEngine &random);
  // Until when the endpoint is to be avoided by what peers report; 0: never reported as failing.
  Nanoseconds suspectUntil(EndpointFingerprint fingerprint) const;
  std::size_t trackedEndpointCount() const { return reports_.size(); }

private:
  // What peers have reported of an endpoint. The counts decay.
  struct PeerReports {
    double failed = 0;
    double lostConnections = 0;
    double succeeded = 0;
    Nanoseconds updatedAt = 0;
    int latestComplainant = -1; // the peer that last reported a failure
    bool hasSeveralComplainants = false;
    int suspicions = 0; // how often the endpoint was made a suspect
    Nanoseconds suspectUntil = 0;
  };
  bool mayTrack(EndpointFingerprint fingerprint) const;
  std::vector<EndpointObservations> takeWorstObservations();
  std::vector<int> drawPeers(RandomEngine &random) const;
  void addReport(PeerReports &reports, int from, const EndpointObservations &observations,
                 bool isSameZone) const;
  void forgetStaleReports(Nanoseconds now);
  static void decay(PeerReports &reports, Nanoseconds now);
  static bool isOutlier(const PeerReports &reports);
  static void makeSuspect(PeerReports &reports, Nanoseconds now, RandomEngine &random);

  int ownIndex_;
  int instanceCount_;
  int zone_;
  Nanoseconds nextMessageAt_ = 0;
  std::map<EndpointFingerprint, EndpointObservations> observations_; // by this instance, not yet sent
  std::map<EndpointFingerprint, PeerReports> reports_;
};

} // namespace myrtlehead
