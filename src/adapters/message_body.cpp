#include "message_body.hpp"

#include <new>

namespace lacewingbeam {

namespace {

std::shared_ptr<evbuffer> make_buffer() {
    auto* buffer = evbuffer_new();
    if (buffer == nullptr) {
        throw std::bad_alloc();
    }
    return {buffer, evbuffer_free};
}

} // namespace

message_body::message_body(std::string_view content) {
    if (!content.empty()) {
        buffer_ = make_buffer();
        evbuffer_add(buffer_.get(), content.data(), content.size());
    }
}

message_body message_body::take(evbuffer* source) {
    message_body body;
    if (evbuffer_get_length(source) > 0) {
        body.buffer_ = make_buffer();
        evbuffer_add_buffer(body.buffer_.get(), source);
    }
    return body;
}

std::size_t message_body::size() const {
    return buffer_ ? evbuffer_get_length(buffer_.get()) : 0;
}

std::vector<std::string_view> message_body::pieces() const {
    if (!buffer_) {
        return {};
    }
    const int count = evbuffer_peek(buffer_.get(), -1, nullptr, nullptr, 0);
    std::vector<evbuffer_iovec> vectors(static_cast<std::size_t>(count));
    evbuffer_peek(buffer_.get(), -1, nullptr, vectors.data(), count);
    std::vector<std::string_view> views;
    views.reserve(vectors.size());
    for (const auto& item : vectors) {
        views.emplace_back(static_cast<const char*>(item.iov_base),
                           item.iov_len);
    }
    return views;
}

void message_body::append_to(evbuffer* target) const {
    if (buffer_ && evbuffer_add_buffer_reference(target, buffer_.get()) != 0) {
        throw std::bad_alloc();
    }
}

} // namespace lacewingbeam
