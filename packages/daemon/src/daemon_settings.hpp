// Settings of tamarackd.
#pragma once

#include "tamarack/adapters.hpp"

namespace tamarack::daemon {

struct daemon_settings {
  std::string Instance; // Unique name of this instance.
  std::string Zone;     // Availability zone.
  std::string HttpHost; // Address of the HTTP server.
  int HttpPort = 0;
  std::string HttpUrl; // URL of the HTTP server for other instances.
  std::string PeerUrl; // nng address of this daemon, to listen on and announced
                       // to other daemons.
  std::string PlatformUrl;            // Log and instance list.
  std::vector<std::string> PeerSeeds; // Peer addresses for the first gossip.
  std::uint32_t StreamCount = 0;      // Ledger streams; equal on all daemons.
  int MaxHttpThreads = 0; // One for each connection, idle ones included.
  int PeerThreads = 0;    // Threads that serve requests of other daemons.
  std::int64_t MaxBodyBytes = 0; // Of a request.
  int DefaultQueueWaitMs = 0;    // Without X-Deadline-Ms.
  int MaxQueueLength = 0;        // Waiting requests of one pool.
  int CheckpointRecords = 0;     // Between two checkpoints of a ledger stream.
  int MaxDrainMs = 0;            // Wait for requests in flight at shutdown.
  std::string AdminKeyDigest;    // SHA-256 in hex; empty: no key is needed.
  std::string LogLevel;          // debug, info, warn or error.
  std::string LogFormat;         // text or json.
  adapters::tls_files PeerTls;   // Between daemons.
  adapters::tls_files HttpTls;   // HTTP server.
  adapters::tls_files ClientTls; // For requests to endpoints and the platform.
};

// False if --help was given and has been printed. Throws
// adapters::settings_error, which lists all invalid settings.
bool readSettings(int Count, const char *const *Arguments,
                  daemon_settings &Settings);

} // namespace tamarack::daemon
