namespace bronzestand {} // namespace bronzestand
