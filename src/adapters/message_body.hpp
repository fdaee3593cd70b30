#ifndef LACEWINGBEAM_ADAPTERS_MESSAGE_BODY_HPP
#define LACEWINGBEAM_ADAPTERS_MESSAGE_BODY_HPP

#include <cstddef>
#include <event2/buffer.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// The body of an HTTP message, held once however often it is copied or sent.
namespace lacewingbeam {

class message_body {
public:
    message_body() = default;

    // Copy the content. Not explicit, so that bodies can be assigned as text.
    message_body(std::string_view content);
    message_body(const std::string& content)
        : message_body(std::string_view(content)) {}

    // Moves the content out of the buffer without copying it.
    static message_body take(evbuffer* source);

    std::size_t size() const;
    bool empty() const { return size() == 0; }

    // Returns the content in order. The views are valid as long as a copy of
    // this object exists.
    std::vector<std::string_view> pieces() const;

    // Appends the content without copying it. It is kept until the buffer has
    // been written.
    void append_to(evbuffer* target) const;

private:
    std::shared_ptr<evbuffer> buffer_; // null if empty
};

} // namespace lacewingbeam

#endif
