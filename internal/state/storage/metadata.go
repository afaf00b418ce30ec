package storage

// SaveMetadata stores a small value of the process itself, for instance its configuration
// version.
func (engine *Engine) SaveMetadata(key string, b []byte) error {
	return engine.put(metadataPrefix+"n/"+key, b)
}

// DeleteMetadata deletes a value stored with SaveMetadata.
func (engine *Engine) DeleteMetadata(key string) error {
	_, err := engine.write(writeTimeout, edit{key: metadataPrefix + "n/" + key, deleted: true})
	return err
}

// LoadMetadata reads a value stored with SaveMetadata; nil if there is none.
func (engine *Engine) LoadMetadata(key string) ([]byte, error) {
	return engine.get(metadataPrefix + "n/" + key)
}

// ListMetadata returns the values whose keys begin with a prefix.
func (engine *Engine) ListMetadata(prefix string) (map[string][]byte, error) {
	entries := map[string][]byte{}
	fullPrefix := metadataPrefix + "n/" + prefix
	err := engine.scanAll(fullPrefix, func(k string, b []byte) error {
		entries[k[len(metadataPrefix+"n/"):]] = append([]byte(nil), b...)
		return nil
	})
	return entries, err
}
