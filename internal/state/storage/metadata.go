package storage

// SaveMetadata keeps a small fact of the process's own; LoadMetadata reads it.
func (engine *Engine) SaveMetadata(key string, b []byte) error {
	return engine.put(metadataPrefix+"n/"+key, b)
}

// DeleteMetadata forgets what SaveMetadata kept.
func (engine *Engine) DeleteMetadata(key string) error {
	_, err := engine.write(writeTimeout, edit{key: metadataPrefix + "n/" + key, deleted: true})
	return err
}

// LoadMetadata reads what SaveMetadata kept; nil where there is nothing.
func (engine *Engine) LoadMetadata(key string) ([]byte, error) {
	return engine.get(metadataPrefix + "n/" + key)
}

// ListMetadata lists what is recorded under a prefix.
func (engine *Engine) ListMetadata(prefix string) (map[string][]byte, error) {
	out := map[string][]byte{}
	pre := metadataPrefix + "n/" + prefix
	err := engine.scanAll(pre, func(k string, b []byte) error {
		out[k[len(metadataPrefix+"n/"):]] = append([]byte(nil), b...)
		return nil
	})
	return out, err
}
