#ifndef LACEWINGBEAM_ADAPTERS_PEER_LINK_HPP
#define LACEWINGBEAM_ADAPTERS_PEER_LINK_HPP

#include "event_loop.hpp"
#include "lacewingbeam/endpoint.hpp"
#include "lacewingbeam/peer_messages.hpp"
#include "memory_budget.hpp"

#include <cstdint>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// Transport for messages between peers. A message is sent as one UDP datagram,
// or as a length-prefixed frame over TCP if it is too large.
namespace lacewingbeam {

struct peer_link_counts {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0; // failed authentication or decoding
};

class peer_link {
public:
    // Binds UDP and TCP to the same port. Incomplete messages count against the
    // budget. Throws error on failure.
    peer_link(event_loop& loop, memory_budget& memory, const std::string& ip,
              std::uint16_t port, std::string key);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link();

    std::uint16_t port() const { return port_; }
    const peer_link_counts& counts() const { return counts_; }

    // Sends without blocking; a message that cannot be sent is dropped.
    void send(const std::string& peer_address, const peer_message& message);

    // A message was received, with the address to reply to (empty for TCP).
    sigc::signal<void(const std::string&, const peer_message&)> received;

    // A message was dropped, with the sender's address and the reason.
    sigc::signal<void(const std::string&, const std::string&)> dropped;

private:
    struct stream {
        peer_link* link = nullptr;
        bufferevent* handle = nullptr;
        time_point opened_at;
        memory_charge charge;
        ~stream();
    };

    void open(const std::string& ip, std::uint16_t port);
    void bind(const std::string& ip, std::uint16_t port);
    bool listen(const std::string& ip);
    void receive();
    void handle_message(const std::string& from, std::string_view bytes);
    void reject(const std::string& from, const std::string& reason);
    void send_frame(const endpoint& to, std::string_view bytes);
    void close_later(bufferevent* handle);
    void close_expired_streams();
    void add_stream(bufferevent* handle, bool outgoing);
    void read_frames(stream& from);

    static void on_readable(evutil_socket_t, short, void* argument);
    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                          void* argument);
    static void on_stream_read(bufferevent*, void* argument);
    static void on_stream_write(bufferevent*, void* argument);
    static void on_stream_event(bufferevent*, short what, void* argument);

    event_loop& loop_;
    memory_budget& memory_;
    std::string key_;
    std::string ip_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    event_handle readable_;
    evconnlistener* listener_ = nullptr;
    scoped_event sweep_timer_;
    std::map<bufferevent*, std::unique_ptr<stream>> streams_;
    peer_link_counts counts_;
};

} // namespace lacewingbeam

#endif
