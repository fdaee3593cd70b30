#ifndef LACEWINGBEAM_SERVER_NOTICES_HPP
#define LACEWINGBEAM_SERVER_NOTICES_HPP

#include "core.hpp"
#include "request_quarantine.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

// What backend servers say in their responses about further requests.
namespace lacewingbeam {

// A server that is leaving gets no more requests, whatever the directory says.
// A server that asked for a pause gets none until it is over. Both concern one
// run of the server; a later one under the same ID is not bound by it.
class server_notices {
public:
    // Return true if the notice is news.
    bool on_leaving(std::string_view server, server_fingerprint run,
                    time_point now);
    bool on_pause(std::string_view server, server_fingerprint run,
                  time_point until, time_point now);

    // Returns true if there is a notice of any run of the server.
    bool has_notice(std::string_view server) const;

    // Returns true if this run of the server may get a request.
    bool may_send(std::string_view server, server_fingerprint run,
                  time_point now) const;

    // Returns when the server's pause ends, or nullopt without one and if the
    // server is leaving.
    std::optional<time_point> paused_until(std::string_view server,
                                           server_fingerprint run,
                                           time_point now) const;

private:
    struct notice {
        server_fingerprint run = 0;
        bool leaving = false;
        time_point told_at; // that it is leaving
        time_point paused_until;
    };

    notice& notice_of(std::string_view server, server_fingerprint run);
    const notice* find(std::string_view server, server_fingerprint run) const;

    void drop_old(time_point now);

    // Kept when a server's registration lapses, which may be back.
    std::map<std::string, notice, std::less<>> notices_;
};

} // namespace lacewingbeam

#endif
