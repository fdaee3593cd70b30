#include "lacewingbeam/ticket.hpp"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace lacewingbeam {

namespace {

constexpr std::size_t word_size = sizeof(std::uint64_t);
constexpr std::size_t bits_per_byte = 8;
constexpr std::size_t content_size = sizeof(incarnation::bytes) + 2 * word_size;
constexpr std::size_t code_size = sizeof(authentication_code);
constexpr std::size_t text_size = 2 * (content_size + code_size);

// Domain separation: a ticket's authentication code is not valid for any other
// message authenticated with the same key.
constexpr std::string_view ticket_context = "lacewingbeam ticket 1\n";

void append_word(std::string& out, std::uint64_t word) {
    for (std::size_t i = 0; i < word_size; ++i) {
        out += static_cast<char>(word >> (i * bits_per_byte));
    }
}

std::uint64_t read_word(std::string_view in) {
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < word_size; ++i) {
        const auto byte = static_cast<std::uint8_t>(in[i]);
        word |= std::uint64_t{byte} << (i * bits_per_byte);
    }
    return word;
}

authentication_code compute_ticket_code(std::string_view content,
                                        std::string_view key) {
    return compute_mac(key, std::string(ticket_context) += content);
}

} // namespace

authentication_code compute_mac(std::string_view key, std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes,
             data.size(), digest.data(), &length) == nullptr) {
        throw error("cannot compute HMAC-SHA-256");
    }
    authentication_code code;
    std::copy_n(digest.begin(), code.size(), code.begin());
    return code;
}

bool equal(const authentication_code& a, const authentication_code& b) {
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string encode(const ticket& value, std::string_view key) {
    std::string content(value.minter.bytes.begin(), value.minter.bytes.end());
    append_word(content, value.sequence);
    append_word(content, static_cast<std::uint64_t>(
                             value.expires.time_since_epoch().count()));
    const auto code = compute_ticket_code(content, key);
    content.append(code.begin(), code.end());
    std::string text;
    boost::algorithm::hex_lower(content, std::back_inserter(text));
    return text;
}

std::optional<ticket> decode(std::string_view text, std::string_view key) {
    if (text.size() != text_size) {
        return std::nullopt;
    }
    std::string raw;
    try {
        boost::algorithm::unhex(text, std::back_inserter(raw));
    } catch (const boost::algorithm::hex_decode_error&) {
        return std::nullopt;
    }
    const std::string_view content(raw.data(), content_size);
    authentication_code received_code;
    std::copy_n(raw.begin() + content_size, code_size, received_code.begin());
    if (!equal(received_code, compute_ticket_code(content, key))) {
        return std::nullopt;
    }
    ticket value;
    std::copy_n(content.begin(), value.minter.bytes.size(),
                value.minter.bytes.begin());
    const auto words = content.substr(value.minter.bytes.size());
    value.sequence = read_word(words);
    value.expires = time_point(duration(
        static_cast<duration::rep>(read_word(words.substr(word_size)))));
    return value;
}

ticket_mint::ticket_mint(const incarnation& own, std::string key,
                         duration lifetime)
    : own_(own), key_(std::move(key)), lifetime_(lifetime) {}

std::string ticket_mint::mint(time_point now) {
    last_expiry_ = now + lifetime_;
    return encode(ticket{own_, ++sequence_, last_expiry_}, key_);
}

} // namespace lacewingbeam
