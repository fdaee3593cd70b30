#include "peer_link.hpp"

#include "wire_codec.hpp"

#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace lacewingbeam {

namespace {

using std::chrono::seconds;

// Larger messages are sent over TCP. Stays below the usual path MTU, so that
// datagrams are not fragmented.
constexpr std::size_t max_datagram_bytes = 1400;
constexpr std::size_t receive_buffer_bytes = 65536;
constexpr std::size_t max_frame_bytes = 16U << 20U;
constexpr std::size_t max_streams = 256;
constexpr duration stream_lifetime = seconds(10);
// Limits for the datagrams handled before other events get their turn.
constexpr int datagrams_per_wakeup = 64;
constexpr duration max_receive_time = std::chrono::milliseconds(10);
constexpr int max_bind_attempts = 20;

struct socket_address {
    sockaddr_storage storage{};
    socklen_t size = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address make_address(const endpoint& value) {
    socket_address address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, value.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(value.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    inet_pton(AF_INET6, value.ip.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(value.port);
    address.size = sizeof(sockaddr_in6);
    return address;
}

endpoint read_address(const sockaddr_storage& storage) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4->sin_port)};
    }
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(v6->sin6_port)};
}

} // namespace

peer_link::stream::~stream() {
    bufferevent_free(handle);
}

peer_link::peer_link(event_loop& loop, memory_budget& memory,
                     const std::string& ip, std::uint16_t port, std::string key)
    : loop_(loop), memory_(memory), key_(std::move(key)), ip_(ip) {
    open(ip, port);
    sweep_timer_ = loop.every(seconds(1), [this] { close_expired_streams(); });
}

peer_link::~peer_link() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    readable_.reset();
    close(socket_);
}

// With port 0, the port that the kernel chose for UDP may be in use for TCP;
// in that case another one is tried.
void peer_link::open(const std::string& ip, std::uint16_t port) {
    for (int attempt = 1;; ++attempt) {
        bind(ip, port);
        if (listen(ip)) {
            return;
        }
        readable_.reset();
        close(socket_);
        if (port != 0 || attempt == max_bind_attempts) {
            throw error("cannot listen on TCP peer port " +
                        to_string(endpoint{ip, port_}));
        }
    }
}

void peer_link::bind(const std::string& ip, std::uint16_t port) {
    auto address = make_address({ip, port});
    socket_ = socket(address.storage.ss_family,
                     SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (::bind(socket_, address.get(), address.size) != 0) {
        close(socket_);
        throw error("cannot bind UDP peer port " +
                    to_string(endpoint{ip, port}));
    }
    getsockname(socket_, address.get(), &address.size);
    port_ = read_address(address.storage).port;
    readable_.reset(event_new(loop_.base(), socket_, EV_READ | EV_PERSIST,
                              on_readable, this));
    event_add(readable_.get(), nullptr);
}

bool peer_link::listen(const std::string& ip) {
    auto address = make_address({ip, port_});
    constexpr int backlog = 64;
    listener_ = evconnlistener_new_bind(
        loop_.base(), on_accept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, address.get(), static_cast<int>(address.size));
    return listener_ != nullptr;
}

void peer_link::send(const std::string& peer_address,
                     const peer_message& message) {
    const auto to = parse_endpoint(peer_address);
    if (!to) {
        return;
    }
    const auto bytes = encode_message(message, key_);
    ++counts_.sent;
    counts_.sent_bytes += bytes.size();
    if (bytes.size() > max_datagram_bytes) {
        send_frame(*to, bytes);
        return;
    }
    auto address = make_address(*to);
    sendto(socket_, bytes.data(), bytes.size(), 0, address.get(), address.size);
}

void peer_link::on_readable(evutil_socket_t, short, void* argument) {
    static_cast<peer_link*>(argument)->receive();
}

void peer_link::receive() {
    std::vector<char> buffer(receive_buffer_bytes);
    const auto end = loop_.now() + max_receive_time;
    for (int i = 0; i < datagrams_per_wakeup && loop_.now() < end; ++i) {
        socket_address from;
        from.size = sizeof from.storage;
        const auto size = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                   from.get(), &from.size);
        if (size < 0) {
            return;
        }
        handle_message(to_string(read_address(from.storage)),
                       {buffer.data(), static_cast<std::size_t>(size)});
    }
}

void peer_link::handle_message(const std::string& from,
                               std::string_view bytes) {
    try {
        const auto message = decode_message(bytes, key_);
        ++counts_.received;
        received.emit(from, message);
    } catch (const wire_error& problem) {
        reject(from, problem.what());
    }
}

void peer_link::reject(const std::string& from, const std::string& reason) {
    ++counts_.dropped;
    dropped.emit(from, reason);
}

void peer_link::add_stream(bufferevent* handle, bool outgoing) {
    auto created = std::make_unique<stream>();
    created->link = this;
    created->handle = handle;
    created->opened_at = loop_.now();
    created->charge = memory_charge(memory_);
    auto& value = *created;
    streams_.emplace(handle, std::move(created));
    bufferevent_setcb(handle, on_stream_read,
                      outgoing ? on_stream_write : nullptr, on_stream_event,
                      &value);
    bufferevent_enable(handle, outgoing ? EV_READ | EV_WRITE : EV_READ);
}

void peer_link::send_frame(const endpoint& to, std::string_view bytes) {
    if (streams_.size() >= max_streams) {
        return;
    }
    auto* handle =
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    add_stream(handle, true);
    const auto length = htonl(static_cast<std::uint32_t>(bytes.size()));
    bufferevent_write(handle, &length, sizeof length);
    bufferevent_write(handle, bytes.data(), bytes.size());
    auto address = make_address(to);
    if (bufferevent_socket_connect(handle, address.get(),
                                   static_cast<int>(address.size)) != 0) {
        close_later(handle);
    }
}

void peer_link::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                          void* argument) {
    auto* self = static_cast<peer_link*>(argument);
    if (self->streams_.size() >= max_streams) {
        close(fd);
        return;
    }
    self->add_stream(
        bufferevent_socket_new(self->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE),
        false);
}

void peer_link::on_stream_read(bufferevent*, void* argument) {
    auto* from = static_cast<stream*>(argument);
    auto* link = from->link;
    link->read_frames(*from);
    const auto incomplete =
        evbuffer_get_length(bufferevent_get_input(from->handle));
    from->charge.set(incomplete);
    if (incomplete > 0 && !link->memory_.make_room(incomplete)) {
        from->charge.set(0);
        bufferevent_disable(from->handle, EV_READ);
        link->reject({}, "no memory for the message");
        link->close_later(from->handle);
    }
}

void peer_link::read_frames(stream& from) {
    auto* input = bufferevent_get_input(from.handle);
    std::uint32_t length = 0;
    while (evbuffer_get_length(input) >= sizeof length) {
        evbuffer_copyout(input, &length, sizeof length);
        const std::size_t size = ntohl(length);
        if (size > max_frame_bytes) {
            reject({}, "message is too large");
            close_later(from.handle);
            return;
        }
        if (evbuffer_get_length(input) < sizeof length + size) {
            return;
        }
        evbuffer_drain(input, sizeof length);
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        // Messages sent over TCP never get a reply, so no address is needed.
        handle_message({}, bytes);
    }
}

// The sender closes the connection after writing its frame.
void peer_link::on_stream_write(bufferevent* handle, void* argument) {
    static_cast<stream*>(argument)->link->close_later(handle);
}

void peer_link::on_stream_event(bufferevent* handle, short what,
                                void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<stream*>(argument)->link->close_later(handle);
    }
}

void peer_link::close_later(bufferevent* handle) {
    loop_.defer([this, handle] { streams_.erase(handle); });
}

void peer_link::close_expired_streams() {
    const auto now = loop_.now();
    std::erase_if(streams_, [&](const auto& item) {
        return now - item.second->opened_at > stream_lifetime;
    });
}

} // namespace lacewingbeam
