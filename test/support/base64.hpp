#ifndef LACEWINGBEAM_TEST_SUPPORT_BASE64_HPP
#define LACEWINGBEAM_TEST_SUPPORT_BASE64_HPP

#include <openssl/evp.h>
#include <string>

namespace testing_support {

inline std::string encode_base64(const std::string& text) {
    std::string out(text.size() * 2 + 4, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

} // namespace testing_support

#endif
